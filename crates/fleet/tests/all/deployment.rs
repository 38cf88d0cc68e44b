//! The two committed example deployments, each with a fleet of 13 racks of 4 in three zones.

use crate::fixture::{name, spare};
use primroseroute_domain::{account, instance::Row};
use primroseroute_fleet::{Fleet, placement::Weights};
use std::{collections::BTreeMap, fs, path::PathBuf};

const WORKERS_PER_RACK: usize = 4;

/// Racks by zone: 52 workers in total, of which the pools need 49.
const RACKS_BY_ZONE: [usize; 3] = [5, 4, 4];

/// Folders of both deployments under `examples/`.
pub const BOTH: [&str; 2] = ["gojo-beds", "ikeoluwa"];

/// A deployment's templates and weights, and a fleet for it.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub templates: Vec<account::Template>,
    pub weights: Weights,
    pub fleet: Fleet,
}

fn examples() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples")
}

/// Reads the deployment in `folder` and adds a fleet of spares.
pub fn read(folder: &str) -> Deployment {
    let files = fs::read_dir(examples().join(folder)).expect("the folder is committed");
    let templates: Vec<account::Template> = files
        .map(|file| fs::read_to_string(file.expect("an entry").path()).expect("a text file"))
        .map(|text| serde_saphyr::from_str(&text).expect("a template"))
        .collect();
    let weights = examples().join("weights").join(format!("{folder}.yaml"));
    let weights = fs::read_to_string(weights).expect("the weights are committed");
    let rows = workers().map(|row| (row.id.clone(), row));
    Deployment {
        weights: serde_saphyr::from_str(&weights).expect("weights"),
        fleet: Fleet {
            rows: rows.collect(),
            budgets: Fleet::budgets(&templates),
            ..Fleet::default()
        },
        templates,
    }
}

fn workers() -> impl Iterator<Item = Row> {
    let racks = RACKS_BY_ZONE
        .iter()
        .enumerate()
        .flat_map(|(zone, racks)| (0..*racks).map(move |rack| (zone, rack)));
    racks.flat_map(|(zone, rack)| {
        (0..WORKERS_PER_RACK).map(move |slot| {
            let rack = format!("z{zone}-r{rack}");
            spare(&format!("{rack}-w{slot}"), &rack, &format!("z{zone}"))
        })
    })
}

fn templates_are_valid(folder: &str) {
    let deployment = read(folder);
    let named: BTreeMap<_, _> = deployment
        .templates
        .iter()
        .map(|template| (template.account.clone(), template.clone()))
        .collect();
    let alone: Vec<_> = deployment
        .templates
        .iter()
        .flat_map(account::Template::check)
        .collect();
    assert_eq!(alone, []);
    assert_eq!(account::check_together(&named), []);
    assert_eq!(named.len(), 5);
    assert!(named.contains_key(&name(if folder == BOTH[0] {
        "gojo-core"
    } else {
        "gatepass"
    })));
}

cases! {
    gojo_beds_templates_are_valid: templates_are_valid(BOTH[0]);
    ikeoluwa_templates_are_valid: templates_are_valid(BOTH[1]);
}
