//! Text tables for human-readable output.

use crate::output::print_line;

/// Prints rows under their headings, each column as wide as its widest value.
pub(crate) fn print_table(headings: &[&str], rows: &[Vec<String>]) {
    let widths: Vec<usize> = headings
        .iter()
        .enumerate()
        .map(|(column, heading)| {
            let widest = rows.iter().map(|row| row[column].chars().count()).max();
            widest.unwrap_or(0).max(heading.len())
        })
        .collect();
    let headings: Vec<String> = headings.iter().map(|it| (*it).to_owned()).collect();
    for row in std::iter::once(&headings).chain(rows) {
        let cells = row.iter().zip(&widths);
        let line: Vec<String> = cells
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        print_line(line.join("  ").trim_end());
    }
}
