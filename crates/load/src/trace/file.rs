//! Trace files in JSON Lines format.

use std::io::{BufRead, Write};

use serde::{Deserialize, Serialize};

use super::event::TraceEvent;

/// The format identifier in the header, which includes the version.
const FORMAT: &str = "comfreyramp-trace-1";

/// A customer. The events of a trace refer to it by index.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TraceCustomer {
    /// The customer's name.
    pub name: String,
    /// The rate limit in requests per second, over the whole fleet.
    pub rate: f64,
    /// The number of requests that may arrive at once after an idle period.
    pub burst: u32,
}

/// The first line of a trace.
#[derive(Serialize, Deserialize)]
struct TraceHeader {
    format: String,
    customers: Vec<TraceCustomer>,
}

/// A trace of requests and faults.
///
/// In a file, the first line is a header with the customers. Each further line is
/// one [`TraceEvent`], sorted by time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TraceFile {
    /// The customers. Events refer to them by index.
    pub customers: Vec<TraceCustomer>,
    /// The events, sorted by time.
    pub events: Vec<TraceEvent>,
}

/// An error in reading or writing a trace.
#[derive(Debug, thiserror::Error)]
pub enum TraceError {
    /// An I/O error.
    #[error("the trace can't be read or written: {0}")]
    Io(#[from] std::io::Error),
    /// A line is invalid.
    #[error("line {line}: {message}")]
    Line {
        /// The line number, starting at one.
        line: usize,
        /// A description of the error.
        message: String,
    },
}

impl TraceFile {
    /// Reads a trace and validates each line.
    pub fn read(input: impl BufRead) -> Result<Self, TraceError> {
        let mut lines = input.lines().enumerate();
        let Some((_, first)) = lines.next() else {
            return Err(line_error(0, "the header is missing"));
        };
        let header: TraceHeader = parse_line(0, &first?)?;
        if header.format != FORMAT {
            return Err(line_error(0, format!("the format must be {FORMAT}")));
        }
        let mut trace = TraceFile {
            customers: header.customers,
            events: Vec::new(),
        };
        for (index, line) in lines {
            let line = line?;
            if line.trim().is_empty() {
                continue;
            }
            let event: TraceEvent = parse_line(index, &line)?;
            trace.check_event(index, &event)?;
            trace.events.push(event);
        }
        Ok(trace)
    }

    /// Writes a trace in the format that [`TraceFile::read`] reads.
    pub fn write(&self, mut output: impl Write) -> Result<(), TraceError> {
        let header = TraceHeader {
            format: FORMAT.to_owned(),
            customers: self.customers.clone(),
        };
        write_line(&mut output, &header)?;
        for event in &self.events {
            write_line(&mut output, event)?;
        }
        output.flush()?;
        Ok(())
    }

    fn check_event(&self, index: usize, event: &TraceEvent) -> Result<(), TraceError> {
        if self.events.last().is_some_and(|it| it.at > event.at) {
            return Err(line_error(
                index,
                "at_us is earlier than in the previous line",
            ));
        }
        let customer = event.kind.customer();
        if customer.is_some_and(|it| it as usize >= self.customers.len()) {
            let message = "customer is not an index of the header's list";
            return Err(line_error(index, message));
        }
        Ok(())
    }
}

fn parse_line<T: for<'de> Deserialize<'de>>(index: usize, line: &str) -> Result<T, TraceError> {
    serde_json::from_str(line).map_err(|it| line_error(index, it.to_string()))
}

fn write_line(output: &mut impl Write, value: &impl Serialize) -> Result<(), TraceError> {
    serde_json::to_writer(&mut *output, value).map_err(std::io::Error::from)?;
    output.write_all(b"\n")?;
    Ok(())
}

fn line_error(index: usize, message: impl Into<String>) -> TraceError {
    TraceError::Line {
        line: index + 1,
        message: message.into(),
    }
}
