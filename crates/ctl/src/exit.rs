//! Exit codes, by what a script may conclude.

use primroseroute_client::Error;
use primroseroute_domain::outcome::Verdict;

/// It was done.
pub const DONE: u8 = 0;
/// A failure on this side, such as a file that cannot be read.
pub const FAILED: u8 = 1;
/// The command line is malformed; the argument parser's own code.
pub const USAGE: u8 = 2;
/// The entry refused it with a numbered code; nothing was changed.
pub const REFUSED: u8 = 3;
/// No entry answered; nothing was changed.
pub const UNREACHABLE: u8 = 4;
/// It may have been done: look before trying again.
pub const UNKNOWN: u8 = 5;
/// It was accepted, but is not yet in force at every registered entry.
pub const NOT_YET: u8 = 6;
/// The demo saw an invariant broken.
pub const BROKEN: u8 = 7;

/// The exit code for a failed exchange.
pub fn of(error: &Error) -> u8 {
    match (error, error.verdict()) {
        (_, Verdict::Unknown) => UNKNOWN,
        (Error::Unreachable(_), _) => UNREACHABLE,
        _ => REFUSED,
    }
}
