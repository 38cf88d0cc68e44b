//! Applying a client account's template.

use super::expect_version;
use primroseroute_api::{Apply, Diff};
use primroseroute_domain::{
    account::{Fault, Template, check_together},
    id,
    outcome::{Code, Refusal},
};
use primroseroute_ledger::{Draft, key};
use primroseroute_view::Snapshot;
use std::collections::BTreeMap;

/// Every fault that `template` would have beside the other accounts of `snapshot`.
pub fn faults(snapshot: &Snapshot, template: &Template) -> Vec<Fault> {
    let mut after: BTreeMap<id::Account, Template> = snapshot
        .accounts()
        .iter()
        .map(|(name, row)| (name.clone(), row.value.clone()))
        .collect();
    after.insert(template.account.clone(), template.clone());
    let mut faults = template.check();
    faults.extend(check_together(&after));
    faults
}

/// Puts the template into `draft`; an equal one changes nothing.
///
/// # Errors
/// [`Code::InvalidTemplate`] with every fault, [`Code::VersionConflict`] where another version is
/// in force than the one named.
pub fn apply(snapshot: &Snapshot, order: &Apply, draft: &mut Draft) -> Result<(), Refusal> {
    let template = &order.template;
    let current = snapshot.accounts().get(&template.account);
    expect_version(current.map(|row| row.version), order.if_version)?;
    let faults = faults(snapshot, template);
    if !faults.is_empty() {
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        return Err(Refusal::new(Code::InvalidTemplate, lines.join("; ")));
    }
    if current.is_none_or(|row| row.value != *template) {
        draft.put(
            key::account(&template.account),
            current.map(|row| row.version),
            template,
        );
    }
    Ok(())
}

/// What the template would change, line by line of its JSON.
///
/// # Panics
/// Never: templates serialize.
pub fn diff(snapshot: &Snapshot, template: &Template) -> Diff {
    let current = snapshot.accounts().get(&template.account);
    let text =
        |template: &Template| serde_json::to_string_pretty(template).expect("templates serialize");
    let before = current.map(|row| text(&row.value)).unwrap_or_default();
    let after = text(template);
    Diff {
        version: current.map(|row| row.version),
        lines: diff_lines(
            &before.lines().collect::<Vec<_>>(),
            &after.lines().collect::<Vec<_>>(),
        ),
        faults: faults(snapshot, template),
    }
}

/// The shortest edit from `before` to `after`, by the longest common subsequence.
fn diff_lines(before: &[&str], after: &[&str]) -> Vec<String> {
    let mut common = vec![vec![0_usize; after.len() + 1]; before.len() + 1];
    for (i, old) in before.iter().enumerate().rev() {
        for (j, new) in after.iter().enumerate().rev() {
            common[i][j] = if old == new {
                common[i + 1][j + 1] + 1
            } else {
                common[i + 1][j].max(common[i][j + 1])
            };
        }
    }
    let (mut i, mut j) = (0, 0);
    let mut lines = Vec::new();
    while i < before.len() || j < after.len() {
        if i < before.len() && j < after.len() && before[i] == after[j] {
            lines.push(format!(" {}", before[i]));
            i += 1;
            j += 1;
        } else if j == after.len() || (i < before.len() && common[i + 1][j] >= common[i][j + 1]) {
            lines.push(format!("-{}", before[i]));
            i += 1;
        } else {
            lines.push(format!("+{}", after[j]));
            j += 1;
        }
    }
    lines
}
