//! HTML reports of one or two results.

mod page;
mod plots;
mod table;

pub use page::report_page;
pub use plots::PlotError;
