//! Exit codes, distinguished by what a script may conclude from them.

use primroseroute_client::Error;
use primroseroute_domain::outcome::Verdict;

/// The command succeeded.
pub const DONE: u8 = 0;
/// A local failure, such as a file that cannot be read.
pub const FAILED: u8 = 1;
/// The command line is malformed; this is the code that the argument parser uses.
pub const USAGE: u8 = 2;
/// The entry refused the command with a numbered code; nothing was changed.
pub const REFUSED: u8 = 3;
/// The entry could not be reached; nothing was changed.
pub const UNREACHABLE: u8 = 4;
/// The command may have been applied: check before retrying.
pub const UNKNOWN: u8 = 5;
/// The change was accepted, but is not yet in effect at every registered entry.
pub const NOT_YET_IN_EFFECT: u8 = 6;
/// The demo found a violated invariant.
pub const INVARIANT_VIOLATED: u8 = 7;

/// The exit code for a failed request.
pub fn from_error(error: &Error) -> u8 {
    match (error, error.verdict()) {
        (_, Verdict::Unknown) => UNKNOWN,
        (Error::Unreachable(_), _) => UNREACHABLE,
        _ => REFUSED,
    }
}
