//! Faults of settings and their positions.

use std::{fmt, path::PathBuf};

/// A position in a file, with lines and columns counted from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// The line.
    pub line: u64,
    /// The column.
    pub column: u64,
}

impl Position {
    /// The start of the file, used for keys missing from the whole file.
    pub const START: Self = Self { line: 1, column: 1 };
}

/// One fault of the settings.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// Position in the file.
    pub position: Position,
    /// Path of the value, such as `peers[1].address`; empty for the whole file.
    pub path: String,
    /// What was expected at this position.
    pub expected: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Position { line, column } = self.position;
        write!(f, "{line}:{column}: ")?;
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        write!(f, "expected {}", self.expected)
    }
}

/// Error of loading settings.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("{}: cannot be read: {source}", path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Underlying I/O error.
        source: std::io::Error,
    },
    /// The settings are invalid; holds all faults in file order.
    #[error("{}", list(faults))]
    Invalid {
        /// The faults; at least one.
        faults: Vec<Fault>,
    },
}

fn list(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(Fault::to_string).collect();
    lines.join("\n")
}

impl Error {
    /// The faults in the settings; empty if the file could not be read.
    pub fn faults(&self) -> &[Fault] {
        match self {
            Self::Unreadable { .. } => &[],
            Self::Invalid { faults } => faults,
        }
    }
}
