//! Output of the commands on standard output, as aligned tables or as JSON.

use serde_json::Value;

/// Prints a header and rows. Each column is as wide as its widest cell.
pub fn table(head: &[&str], rows: &[Vec<String>]) {
    let mut widths: Vec<usize> = head.iter().map(|title| title.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let head: Vec<String> = head.iter().map(|title| title.to_string()).collect();
    print_row(&head, &widths);
    rows.iter().for_each(|row| print_row(row, &widths));
}

/// Prints a JSON value, indented over several lines.
pub fn json(value: &Value) {
    println!("{}", serde_json::to_string_pretty(value).unwrap_or_default());
}

fn print_row(row: &[String], widths: &[usize]) {
    let cells: Vec<String> =
        row.iter().zip(widths).map(|(cell, width)| format!("{cell:width$}")).collect();
    println!("{}", cells.join("  ").trim_end());
}
