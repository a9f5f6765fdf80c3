//! Tables for people, JSON for scripts.

use serde::Serialize;

use crate::error::Error;

/// Prints a value as JSON, or as the text made from it.
///
/// # Errors
/// If the value cannot be written as JSON.
pub fn print<T: Serialize>(json: bool, value: &T, text: fn(&T) -> String) -> Result<(), Error> {
    if json {
        println!("{}", serde_json::to_string_pretty(value)?);
    } else {
        println!("{}", text(value).trim_end());
    }
    Ok(())
}

/// A table with columns as wide as their widest cell.
#[must_use]
pub fn table(head: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = head.iter().map(|cell| cell.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let head: Vec<String> = head.iter().map(ToString::to_string).collect();
    std::iter::once(&head)
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
