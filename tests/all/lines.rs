//! Every log line of the job path is listed in `docs/OPERATIONS.md` with its fields, and none that
//! doesn't exist.

use eyre::{Result, eyre};
use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    path::{Path, PathBuf},
};

/// Sources whose lines an operator of the job path sees.
const SOURCES: [&str; 7] = [
    "crates/backoff/src",
    "crates/owner/src",
    "crates/gateway/src",
    "crates/serve/src/site.rs",
    "crates/serve/src/metered.rs",
    "crates/serve/src/metrics_handler.rs",
    "platform/src",
];

/// Fields by text.
type Lines = BTreeMap<String, BTreeSet<String>>;

#[test]
fn every_line_is_listed_with_its_fields() -> Result<()> {
    let mut written = Lines::new();
    for source in SOURCES {
        collect(
            &Path::new(env!("CARGO_MANIFEST_DIR")).join(source),
            &mut written,
        )?;
    }
    assert!(
        written.len() > 40,
        "only {} lines were found",
        written.len()
    );
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/OPERATIONS.md");
    let listed = listed(&fs::read_to_string(page)?);
    for (text, fields) in &written {
        assert_eq!(
            listed.get(text),
            Some(fields),
            "{text:?} is listed otherwise"
        );
    }
    for text in listed.keys() {
        assert!(written.contains_key(text), "{text:?} is written nowhere");
    }
    Ok(())
}

/// The table of lines: texts in the first column, each in backquotes, fields in the second.
fn listed(page: &str) -> Lines {
    let section = page.split("## Every line").nth(1).unwrap_or_default();
    let section = section.split("\n## ").next().unwrap_or_default();
    let rows = section.lines().filter(|line| line.starts_with("| `"));
    let mut lines = Lines::new();
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

fn collect(path: &Path, lines: &mut Lines) -> Result<()> {
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
            let call = arguments(&source[at + macro_name.len()..])
                .ok_or_else(|| eyre!("{}: an open call", path.display()))?;
            let (text, fields) =
                parsed(call).ok_or_else(|| eyre!("{}: no text in {call:?}", path.display()))?;
            lines.entry(text).or_default().extend(fields);
        }
    }
    Ok(())
}

/// What stands before the parenthesis that closes the call.
fn arguments(rest: &str) -> Option<&str> {
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

/// The text of a call, which is its last string, and the names of its fields.
fn parsed(call: &str) -> Option<(String, BTreeSet<String>)> {
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
