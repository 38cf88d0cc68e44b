//! Checks of the documentation: complete indexes and valid links.

use eyre::{Result, WrapErr};
use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

/// Guards against a page under `docs/` or a crate that is added without being listed in its index.
#[test]
fn every_page_is_in_the_index() -> Result<()> {
    let docs = root().join("docs");
    let index = docs.join("README.md");
    let listed: BTreeSet<PathBuf> = links(&index)?
        .iter()
        .map(|link| docs.join(target(link)))
        .collect();
    let mut missing = pages(&docs)?;
    missing.retain(|page| *page != index && !listed.contains(page));
    assert_eq!(missing, Vec::<PathBuf>::new(), "not in docs/README.md");
    Ok(())
}

#[test]
fn every_crate_is_in_the_readme() -> Result<()> {
    let readme = fs::read_to_string(root().join("README.md"))?;
    let mut missing = Vec::new();
    for found in fs::read_dir(root().join("crates"))? {
        let name = found?.file_name().to_string_lossy().into_owned();
        if !readme.contains(&format!("\n| `{name}` | ")) {
            missing.push(name);
        }
    }
    assert_eq!(missing, Vec::<String>::new(), "not in README.md");
    Ok(())
}

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

/// All Markdown files under `folder`, recursively.
fn pages(folder: &Path) -> Result<Vec<PathBuf>> {
    let mut found = Vec::new();
    for child in fs::read_dir(folder)? {
        let path = child?.path();
        if path.is_dir() {
            found.extend(pages(&path)?);
        } else if path.extension().is_some_and(|extension| extension == "md") {
            found.push(path);
        }
    }
    found.sort();
    Ok(found)
}

/// Link targets in `page`, including their anchors.
fn links(page: &Path) -> Result<Vec<String>> {
    let text = fs::read_to_string(page).wrap_err_with(|| page.display().to_string())?;
    let links = text.split("](").skip(1);
    let links = links.filter_map(|rest| rest.split_once(')'));
    Ok(links.map(|(link, _rest)| link.to_owned()).collect())
}

/// The file part of a link, without its anchor.
fn target(link: &str) -> &str {
    link.split('#').next().unwrap_or(link)
}

/// The anchor that a Markdown viewer generates for a heading.
fn anchor(heading: &str) -> String {
    let kept = |c: &char| c.is_alphanumeric() || matches!(c, ' ' | '-');
    let text: String = heading.to_lowercase().chars().filter(kept).collect();
    text.replace(' ', "-")
}

/// The fault of a link in `page`, or `None` if its file and heading exist.
fn link_fault(page: &Path, link: &str) -> Result<Option<String>> {
    if link.starts_with("http") {
        return Ok(None);
    }
    let (file, heading) = link.split_once('#').unwrap_or((link, ""));
    let folder = page.parent().unwrap_or(page);
    let path = if file.is_empty() {
        page.to_owned()
    } else {
        folder.join(file)
    };
    if !path.exists() {
        return Ok(Some(format!("{}: no file {link}", page.display())));
    }
    if heading.is_empty() {
        return Ok(None);
    }
    let text = fs::read_to_string(&path)?;
    let headings = text.lines().filter_map(|line| line.strip_prefix('#'));
    let mut anchors = headings.map(|line| anchor(line.trim_start_matches('#').trim()));
    let missing = !anchors.any(|found| found == heading);
    Ok(missing.then(|| format!("{}: no heading {link}", page.display())))
}

#[test]
fn links_between_pages_resolve() -> Result<()> {
    let mut pages = pages(&root().join("docs"))?;
    pages.push(root().join("README.md"));
    pages.push(root().join("examples/README.md"));
    let mut faults = Vec::new();
    for page in &pages {
        for link in links(page)? {
            faults.extend(link_fault(page, &link)?);
        }
    }
    assert_eq!(faults, Vec::<String>::new());
    Ok(())
}
