//! Output of results, as text tables or as JSON for scripts.

use serde::Serialize;

use crate::error::Error;

/// Prints a value as JSON, or as the text that `text` formats.
///
/// # Errors
/// If the value cannot be serialized as JSON.
pub fn print<T: Serialize>(json: bool, value: &T, text: fn(&T) -> String) -> Result<(), Error> {
    if json {
        println!("{}", serde_json::to_string_pretty(value)?);
    } else {
        println!("{}", text(value).trim_end());
    }
    Ok(())
}

/// Formats a table whose columns are as wide as their widest cell.
#[must_use]
pub fn table(headings: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = headings.iter().map(|cell| cell.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let headings: Vec<String> = headings.iter().map(ToString::to_string).collect();
    std::iter::once(&headings)
        .chain(rows)
        .map(|row| line(row, &widths))
        .collect()
}

fn line(row: &[String], widths: &[usize]) -> String {
    let cells: Vec<String> = row
        .iter()
        .zip(widths)
        .map(|(cell, width)| format!("{cell:<width$}"))
        .collect();
    format!("{}\n", cells.join("  ").trim_end())
}
