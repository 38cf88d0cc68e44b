//! The example deployment `examples/gojo-beds`, in small.

use eyre::{Result, WrapErr};
use primroseroute_domain::account::{Budget, Survive, Template};
use primroseroute_testbed::Layout;
use std::sync::Arc;

/// The committed templates.
const TEMPLATES: [&str; 5] = [
    include_str!("../../../examples/gojo-beds/habesha-stay.yaml"),
    include_str!("../../../examples/gojo-beds/lalibela-rest.yaml"),
    include_str!("../../../examples/gojo-beds/merkato-beds.yaml"),
    include_str!("../../../examples/gojo-beds/gojo-core.yaml"),
    include_str!("../../../examples/gojo-beds/gojo-backoffice.yaml"),
];

/// A third of the promise: about 17 workers in place of about 50.
const SCALE: u32 = 3;

/// Availability zones.
const ZONES: usize = 3;

/// Entries at the start.
const ENTRIES: usize = 3;

/// The templates of the deployment, each promise cut to a third.
pub(crate) fn templates() -> Result<Vec<Template>> {
    TEMPLATES.iter().map(|text| template(text)).collect()
}

fn template(text: &str) -> Result<Template> {
    let mut template: Template = serde_saphyr::from_str(text).wrap_err("an example template")?;
    for pool in &mut template.pools {
        pool.budget = Budget {
            promised: (pool.budget.promised / SCALE).max(1),
            max_absent: 1,
            survive: Survive::Rack,
        };
    }
    Ok(template)
}

/// Workers for every pool: the promise, one that the loss of a rack takes, and one in maintenance.
pub(crate) fn layout(templates: &[Template]) -> Layout {
    let pools = templates.iter().flat_map(|template| &template.pools);
    let sizes = pools.map(|pool| {
        let size = pool.budget.promised as usize + 2;
        (pool.name.to_string(), size)
    });
    Layout {
        entries: ENTRIES,
        pools: sizes.collect(),
        zones: ZONES,
        // One worker of a pool in each rack: a rack takes one of it, as in the deployment.
        rack: 1,
    }
}

/// The token of the account's callers, whose hash the committed template has.
pub(crate) fn token(template: &Template) -> Arc<str> {
    format!("example-token-of-{}", template.account).into()
}

/// Path prefixes of the services that `template`'s account may call.
pub(crate) fn prefixes(template: &Template, all: &[Template]) -> Vec<Arc<str>> {
    let mut found = Vec::new();
    for owner in all {
        for service in owner.pools.iter().flat_map(|pool| &pool.services) {
            let allowed =
                owner.account == template.account || service.callers.contains(&template.account);
            found.extend(service.path_prefix.clone().filter(|_| allowed));
        }
    }
    found
}
