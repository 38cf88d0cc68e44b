//! The result codes match `docs/result-codes.md`.

use primroseroute_domain::outcome::Code;
use std::{collections::BTreeSet, fs, path::Path};

fn page() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/result-codes.md");
    fs::read_to_string(path).expect("the page is readable")
}

/// The cells of each table row that begins with a number.
fn rows(page: &str) -> Vec<Vec<&str>> {
    page.lines()
        .map(|line| line.trim_matches('|').split('|').map(str::trim).collect())
        .filter(|cells: &Vec<&str>| cells[0].parse::<u16>().is_ok())
        .collect()
}

#[test]
fn page_lists_every_code_with_its_values() {
    let page = page();
    let rows = rows(&page);
    let listed: Vec<[String; 4]> = rows
        .iter()
        .map(|cells| std::array::from_fn(|cell| cells[cell].to_owned()))
        .collect();
    let defined: Vec<[String; 4]> = Code::ALL
        .iter()
        .map(|code| {
            [
                code.number().to_string(),
                code.status().to_string(),
                code.verdict().to_string(),
                code.title().to_owned(),
            ]
        })
        .collect();
    assert_eq!(listed, defined);
}

#[test]
fn page_documents_the_reaction_to_every_code() {
    for cells in rows(&page()) {
        assert_eq!(cells.len(), 5, "{cells:?}");
        assert!(cells[4].ends_with('.'), "{cells:?}");
    }
}

#[test]
fn numbers_are_unique_and_ascending() {
    let numbers: Vec<u16> = Code::ALL.iter().map(|code| code.number()).collect();
    let distinct: BTreeSet<u16> = numbers.iter().copied().collect();
    assert_eq!(numbers.len(), distinct.len());
    assert!(numbers.is_sorted());
    for number in numbers {
        assert_eq!(Code::try_from(number).map(Code::number), Ok(number));
    }
}

#[test]
fn every_code_has_an_error_status() {
    for code in Code::ALL {
        assert!((400..600).contains(&code.status()), "{code}");
    }
}
