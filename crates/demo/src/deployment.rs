//! The example deployment `examples/gojo-beds` at a reduced size.

use eyre::{Result, WrapErr};
use primroseroute_domain::account::{Budget, Survive, Template};
use primroseroute_testbed::Layout;
use std::sync::Arc;

/// Account templates of the example.
const TEMPLATES: [&str; 5] = [
    include_str!("../../../examples/gojo-beds/habesha-stay.yaml"),
    include_str!("../../../examples/gojo-beds/lalibela-rest.yaml"),
    include_str!("../../../examples/gojo-beds/merkato-beds.yaml"),
    include_str!("../../../examples/gojo-beds/gojo-core.yaml"),
    include_str!("../../../examples/gojo-beds/gojo-backoffice.yaml"),
];

/// Divisor of the promised capacity: about 17 workers instead of about 50.
const CAPACITY_DIVISOR: u32 = 3;

const ZONES: usize = 3;

/// Entries at start-up.
const ENTRIES: usize = 3;

/// The templates of the deployment, with each pool's promised capacity reduced to a third.
pub(crate) fn templates() -> Result<Vec<Template>> {
    TEMPLATES.iter().map(|text| template(text)).collect()
}

fn template(text: &str) -> Result<Template> {
    let mut template: Template =
        serde_saphyr::from_str(text).wrap_err("parsing an example template")?;
    for pool in &mut template.pools {
        pool.budget = Budget {
            promised: (pool.budget.promised / CAPACITY_DIVISOR).max(1),
            max_absent: 1,
            survive: Survive::Rack,
        };
    }
    Ok(template)
}

/// Workers of every pool: the promised capacity, one to cover the loss of a rack, and one to cover maintenance.
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
        // One worker of a pool per rack, so that losing a rack costs a pool one worker, as in the full deployment.
        rack: 1,
    }
}

/// The token of the account's callers; the template contains its hash.
pub(crate) fn token(template: &Template) -> Arc<str> {
    format!("example-token-of-{}", template.account).into()
}

/// Path prefixes of the services that `template`'s account may call.
pub(crate) fn prefixes(template: &Template, all: &[Template]) -> Vec<Arc<str>> {
    let mut paths = Vec::new();
    for owner in all {
        for service in owner.pools.iter().flat_map(|pool| &pool.services) {
            let allowed =
                owner.account == template.account || service.callers.contains(&template.account);
            paths.extend(service.path_prefix.clone().filter(|_| allowed));
        }
    }
    paths
}
