//! Applies a client account's template.

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

/// Validates `template` on its own and together with the other accounts of `snapshot`.
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

/// Adds the template to `draft`, unless it equals the current one.
///
/// # Errors
/// [`Code::InvalidTemplate`] with every fault, [`Code::VersionConflict`] if the current version is
/// not the expected one.
pub fn apply(snapshot: &Snapshot, order: &Apply, draft: &mut Draft) -> Result<(), Refusal> {
    let template = &order.template;
    let current = snapshot.accounts().get(&template.account);
    expect_version(current.map(|row| row.version), order.if_version)?;
    let faults = faults(snapshot, template);
    if !faults.is_empty() {
        let messages: Vec<String> = faults.iter().map(ToString::to_string).collect();
        return Err(Refusal::new(Code::InvalidTemplate, messages.join("; ")));
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

/// Line diff between the JSON of the current template and that of `template`.
///
/// # Panics
/// Never: templates always serialize.
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

/// Shortest edit script from `before` to `after`, by their longest common subsequence.
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
