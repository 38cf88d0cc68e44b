//! What control asks for by size: counts, so that the verdict is the same each time.

mod fit;
mod growth;
