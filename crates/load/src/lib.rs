//! The load generator: generates traces, plays them against a fleet and reports
//! the results.
//!
//! - [`trace`] defines the trace format and seeded generators. Traces are plain
//!   data, which the simulation on virtual time reads as well.
//! - [`outcome`] aggregates the outcomes of single requests into a result.
//! - [`run`] plays a trace against a fleet over HTTP.
//! - [`report`] renders one or two results as an HTML page with plots.

pub mod outcome;
pub mod report;
pub mod run;
pub mod trace;
