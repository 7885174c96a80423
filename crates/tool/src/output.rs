//! Printing to standard output.

use std::{fmt::Display, io::Write};

/// Prints a line and ignores write errors.
///
/// `println!` panics on a broken pipe, for example when `head` has exited. That
/// would end the tool with a backtrace in the middle of a command, before the
/// daemons have confirmed a change.
pub(crate) fn print_line(line: impl Display) {
    let _ = writeln!(std::io::stdout(), "{line}");
}
