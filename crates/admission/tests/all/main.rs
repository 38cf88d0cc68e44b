//! What owners publish, and what gateways decide from it.

mod gate;
mod publisher;
