//! `docs/result-codes.md` and the code say the same.

use primroseroute_domain::outcome::Code;
use std::{collections::BTreeSet, fs, path::Path};

fn page() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/result-codes.md");
    fs::read_to_string(path).expect("the page is there")
}

/// The cells of each row whose first one is a number.
fn rows(page: &str) -> Vec<Vec<&str>> {
    page.lines()
        .map(|line| line.trim_matches('|').split('|').map(str::trim).collect())
        .filter(|cells: &Vec<&str>| cells[0].parse::<u16>().is_ok())
        .collect()
}

#[test]
fn page_lists_every_code_as_it_is() {
    let page = page();
    let rows = rows(&page);
    let listed: Vec<[String; 4]> = rows
        .iter()
        .map(|cells| std::array::from_fn(|cell| cells[cell].to_owned()))
        .collect();
    let known: Vec<[String; 4]> = Code::ALL
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
    assert_eq!(listed, known);
}

#[test]
fn page_says_what_to_do_on_every_code() {
    for cells in rows(&page()) {
        assert_eq!(cells.len(), 5, "{cells:?}");
        assert!(cells[4].ends_with('.'), "{cells:?}");
    }
}

#[test]
fn numbers_are_used_once_and_ascend() {
    let numbers: Vec<u16> = Code::ALL.iter().map(|code| code.number()).collect();
    let distinct: BTreeSet<u16> = numbers.iter().copied().collect();
    assert_eq!(numbers.len(), distinct.len());
    assert!(numbers.is_sorted());
    for number in numbers {
        assert_eq!(Code::try_from(number).map(Code::number), Ok(number));
    }
}

#[test]
fn what_did_not_run_is_never_a_success() {
    for code in Code::ALL {
        assert!((400..600).contains(&code.status()), "{code}");
    }
}
