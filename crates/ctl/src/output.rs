//! Prints results as a table or as JSON.

use crate::cli::Output;
use comfy_table::{ContentArrangement, Table, presets::UTF8_HORIZONTAL_ONLY};
use eyre::{Result, WrapErr};
use serde::Serialize;
use std::io::Write;

/// A result that can be printed as a table or as JSON.
pub(crate) struct Printable<'a, T> {
    /// The value printed as JSON.
    pub value: &'a T,
    /// Column titles of the table.
    pub titles: &'a [&'a str],
    /// Rows of the table.
    pub rows: Vec<Vec<String>>,
}

/// Prints results to a writer in the chosen format.
pub(crate) struct Printer<'a> {
    /// The chosen format.
    pub output: Output,
    /// The writer.
    pub out: &'a mut dyn Write,
}

impl Printer<'_> {
    /// Prints `result` in the chosen format.
    pub(crate) fn print<T: Serialize>(&mut self, result: &Printable<'_, T>) -> Result<()> {
        match self.output {
            Output::Json => self.json(result.value),
            Output::Table => self.table(result.titles, &result.rows),
        }
    }

    /// Prints one value as a line of JSON.
    pub(crate) fn json<T: Serialize>(&mut self, value: &T) -> Result<()> {
        let text = serde_json::to_string(value).wrap_err("writing JSON")?;
        self.line(&text)
    }

    /// Prints one line.
    pub(crate) fn line(&mut self, text: &str) -> Result<()> {
        writeln!(self.out, "{text}").wrap_err("writing the result")
    }

    /// Prints a table.
    pub(crate) fn table(&mut self, titles: &[&str], rows: &[Vec<String>]) -> Result<()> {
        let mut table = Table::new();
        table
            .load_preset(UTF8_HORIZONTAL_ONLY)
            .set_content_arrangement(ContentArrangement::Dynamic);
        table.set_header(titles.iter().copied());
        for row in rows {
            table.add_row(row);
        }
        self.line(&table.to_string())
    }
}
