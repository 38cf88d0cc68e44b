//! `docs/OPERATIONS.md` lists exactly the log lines of the job path, each with its fields.

use eyre::{Result, eyre};
use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    path::{Path, PathBuf},
};

/// Sources of the log lines that an operator of the job path sees.
const SOURCES: [&str; 8] = [
    "crates/backoff/src",
    "crates/front/src/connections",
    "crates/owner/src",
    "crates/gateway/src",
    "crates/serve/src/site.rs",
    "crates/serve/src/metered.rs",
    "crates/serve/src/metrics_handler.rs",
    "platform/src",
];

/// Field names by log text.
type LogLines = BTreeMap<String, BTreeSet<String>>;

#[test]
fn every_line_is_listed_with_its_fields() -> Result<()> {
    let mut logged = LogLines::new();
    for source in SOURCES {
        collect(
            &Path::new(env!("CARGO_MANIFEST_DIR")).join(source),
            &mut logged,
        )?;
    }
    assert!(
        logged.len() > 40,
        "only {} log lines were found",
        logged.len()
    );
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/OPERATIONS.md");
    let listed_lines = listed_lines(&fs::read_to_string(page)?);
    for (text, fields) in &logged {
        assert_eq!(
            listed_lines.get(text),
            Some(fields),
            "{text:?} is not listed with these fields"
        );
    }
    for text in listed_lines.keys() {
        assert!(
            logged.contains_key(text),
            "{text:?} is listed but not logged anywhere"
        );
    }
    Ok(())
}

/// Parses the table of log lines: texts in the first column, each in backquotes, fields in the
/// second.
fn listed_lines(page: &str) -> LogLines {
    let section = page.split("## Every line").nth(1).unwrap_or_default();
    let section = section.split("\n## ").next().unwrap_or_default();
    let rows = section.lines().filter(|line| line.starts_with("| `"));
    let mut lines = LogLines::new();
    for row in rows {
        let mut cells = row.split('|').skip(1);
        let texts = cells.next().unwrap_or_default();
        let fields = cells.next().unwrap_or_default();
        let fields = fields.split(',').map(str::trim);
        let fields: BTreeSet<String> = fields
            .filter(|field| !field.is_empty())
            .map(str::to_owned)
            .collect();
        for text in texts.split('`').skip(1).step_by(2) {
            lines.insert(text.to_owned(), fields.clone());
        }
    }
    lines
}

fn collect(path: &Path, lines: &mut LogLines) -> Result<()> {
    if path.is_dir() {
        let mut inside: Vec<PathBuf> = fs::read_dir(path)?
            .map(|entry| entry.map(|entry| entry.path()))
            .collect::<std::io::Result<_>>()?;
        inside.sort();
        return inside.iter().try_for_each(|path| collect(path, lines));
    }
    let source = fs::read_to_string(path)?;
    for macro_name in ["info!(", "warn!(", "error!("] {
        for (at, _found) in source.match_indices(macro_name) {
            let call = macro_arguments(&source[at + macro_name.len()..])
                .ok_or_else(|| eyre!("{}: unterminated call", path.display()))?;
            let (text, fields) =
                parse_call(call).ok_or_else(|| eyre!("{}: no text in {call:?}", path.display()))?;
            lines.entry(text).or_default().extend(fields);
        }
    }
    Ok(())
}

/// The macro arguments, up to the closing parenthesis of the call.
fn macro_arguments(rest: &str) -> Option<&str> {
    let mut depth = 1;
    let mut quoted = false;
    let mut escaped = false;
    for (at, letter) in rest.char_indices() {
        if std::mem::take(&mut escaped) {
            continue;
        }
        match letter {
            '\\' if quoted => escaped = true,
            '"' => quoted = !quoted,
            '(' if !quoted => depth += 1,
            ')' if !quoted => depth -= 1,
            _ => {}
        }
        if depth == 0 {
            return Some(&rest[..at]);
        }
    }
    None
}

/// The log text of a call, which is its last string, and the names of its fields.
fn parse_call(call: &str) -> Option<(String, BTreeSet<String>)> {
    let end = call.rfind('"')?;
    let begin = call[..end].rfind('"')?;
    let mut depth = 0;
    let pieces = call[..begin].split(|letter| {
        match letter {
            '(' | '[' | '{' => depth += 1,
            ')' | ']' | '}' => depth -= 1,
            _ => {}
        }
        depth == 0 && (letter == ',' || letter == ';')
    });
    let names = pieces.map(str::trim).filter(|piece| !piece.is_empty());
    let names = names.map(|piece| {
        let word = piece.split(|letter: char| !(letter.is_alphanumeric() || letter == '_'));
        word.take(1).collect::<String>()
    });
    Some((call[begin + 1..end].to_owned(), names.collect()))
}
