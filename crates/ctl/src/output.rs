//! Printing results as a table or as JSON.

use crate::cli::Output;
use comfy_table::{ContentArrangement, Table, presets::UTF8_HORIZONTAL_ONLY};
use eyre::{Result, WrapErr};
use serde::Serialize;
use std::io::{Write, stdout};

/// A result that can be printed in both ways.
pub(crate) struct Shown<'a, T> {
    /// What JSON shows.
    pub value: &'a T,
    /// Column titles of the table.
    pub titles: &'a [&'a str],
    /// Rows of the table.
    pub rows: Vec<Vec<String>>,
}

/// Prints `shown`.
pub(crate) fn print<T: Serialize>(output: Output, shown: &Shown<'_, T>) -> Result<()> {
    match output {
        Output::Json => json(shown.value),
        Output::Table => line(&table(shown.titles, &shown.rows)),
    }
}

/// Prints one value as a line of JSON.
pub(crate) fn json<T: Serialize>(value: &T) -> Result<()> {
    line(&serde_json::to_string(value).wrap_err("writing JSON")?)
}

/// Prints one line.
pub(crate) fn line(text: &str) -> Result<()> {
    writeln!(stdout().lock(), "{text}").wrap_err("writing to standard output")
}

fn table(titles: &[&str], rows: &[Vec<String>]) -> String {
    let mut table = Table::new();
    table
        .load_preset(UTF8_HORIZONTAL_ONLY)
        .set_content_arrangement(ContentArrangement::Dynamic);
    table.set_header(titles.iter().copied());
    for row in rows {
        table.add_row(row);
    }
    table.to_string()
}
