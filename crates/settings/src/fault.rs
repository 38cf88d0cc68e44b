//! What is wrong with settings, and where.

use std::{fmt, path::PathBuf};

/// A place in a file; lines and columns count from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// The line.
    pub line: u64,
    /// The column.
    pub column: u64,
}

impl Place {
    /// The start of the file: the place of what is missing from it as a whole.
    pub const START: Self = Self { line: 1, column: 1 };
}

/// One fault.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// Where it is.
    pub place: Place,
    /// The path of the value, such as `peers[1].address`; empty for the whole file.
    pub path: String,
    /// What was expected there.
    pub expected: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Place { line, column } = self.place;
        write!(f, "{line}:{column}: ")?;
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        write!(f, "expected {}", self.expected)
    }
}

/// Why settings could not be read.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("{}: cannot be read: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why not.
        source: std::io::Error,
    },
    /// The settings are faulty; every fault is here, in the order of the file.
    #[error("{}", list(faults))]
    Invalid {
        /// The faults, at least one.
        faults: Vec<Fault>,
    },
}

fn list(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(Fault::to_string).collect();
    lines.join("\n")
}

impl Error {
    /// The faults in the settings; none where the file could not be read.
    pub fn faults(&self) -> &[Fault] {
        match self {
            Self::Unreadable { .. } => &[],
            Self::Invalid { faults } => faults,
        }
    }
}
