//! The progress line of a run.

use std::{
    io::{IsTerminal, Write, stderr},
    time::Duration,
};

use crate::outcome::{CallEnd, CallOutcome};

/// Counts ended calls and lots and prints them as a progress line.
#[derive(Debug, Default)]
pub(crate) struct RunProgress {
    quiet: bool,
    done: u64,
    refused: u64,
    broken: u64,
    lots: u64,
    lot_items: u64,
}

impl RunProgress {
    pub(crate) fn new(quiet: bool) -> Self {
        RunProgress {
            quiet,
            ..RunProgress::default()
        }
    }

    pub(crate) fn add_call(&mut self, call: &CallOutcome) {
        match call.end {
            CallEnd::Done => self.done += 1,
            CallEnd::Refused(_) => self.refused += 1,
            _ => self.broken += 1,
        }
    }

    pub(crate) fn add_lot(&mut self) {
        self.lots += 1;
    }

    pub(crate) fn add_items(&mut self, items: u32) {
        self.lot_items += u64::from(items);
    }

    /// Prints the progress. On a terminal it overwrites the previous line, elsewhere
    /// it appends a new one.
    pub(crate) fn print(&self, elapsed: Duration, open: usize) {
        if self.quiet {
            return;
        }
        let line = format!(
            "{:>5} s  open {open}  done {}  refused {}  broken {}  lots ended {}  items {}",
            elapsed.as_secs(),
            self.done,
            self.refused,
            self.broken,
            self.lots,
            self.lot_items
        );
        let mut output = stderr().lock();
        // A closed output must not abort the run.
        let _ = if output.is_terminal() {
            write!(output, "\r{line}\x1b[K")
        } else {
            writeln!(output, "{line}")
        };
    }

    /// Terminates the progress line on a terminal.
    pub(crate) fn finish(&self) {
        let mut output = stderr().lock();
        if !self.quiet && output.is_terminal() {
            let _ = writeln!(output);
        }
    }
}
