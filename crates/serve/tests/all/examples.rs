//! The settings of the example deployments are valid and agree with their weights and hardware.

use primroseroute_fleet::placement::Weights;
use primroseroute_serve::EntryOptions;
use primroseroute_settings::{Settings, secret::Token};
use sha2::{Digest, Sha256};
use std::{fs, path::PathBuf};

const GIB: f64 = 1024.0 * 1024.0 * 1024.0;

/// One test per deployment, with the cores and memory in GiB of its workers.
macro_rules! cases {
    ($($name:ident($folder:literal, $cores:literal, $memory:literal);)*) => {$(
        #[test]
        fn $name() {
            check_deployment($folder, $cores, $memory);
        }
    )*};
}

cases! {
    gojo_beds("gojo-beds", 64.0, 256.0);
    ikeoluwa("ikeoluwa", 16.0, 64.0);
}

fn read(path: &str) -> String {
    let examples = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    fs::read_to_string(examples.join(path)).expect("the example file is readable")
}

fn check_deployment(deployment: &str, cores: f64, memory: f64) {
    let text = read(&format!("settings/{deployment}.yaml"));
    let settings = Settings::parse(&text).unwrap_or_else(|error| panic!("{error}"));
    let options = EntryOptions::of(&settings);
    let weights = read(&format!("weights/{deployment}.yaml"));
    let weights: Weights = serde_saphyr::from_str(&weights).expect("the weights are valid");
    // Only the ratios matter; `EntryOptions` holds hundredths.
    let hundredths = Weights {
        buffer: weights.buffer * 100,
        moves: weights.moves * 100,
        rollout: weights.rollout * 100,
    };
    assert_eq!(options.weights, hundredths);
    let capacity = options.jobs.capacity;
    let deviations = [
        capacity.cores - cores,
        capacity.memory / GIB - memory,
        capacity.accelerators,
    ];
    assert!(deviations.iter().all(|by| by.abs() < 1e-9), "{capacity:?}");
    assert!(
        options.peers.len() >= 2,
        "one peer may be down at the same time as the store"
    );
    check_example_tokens(&settings);
}

fn check_example_tokens(settings: &Settings) {
    assert!(!settings.secrets.operators.is_empty());
    for operator in &settings.secrets.operators {
        let token = format!("example-token-of-{}", operator.name);
        let expected = Sha256::digest(token)
            .iter()
            .fold(String::new(), |all, byte| all + &format!("{byte:02x}"));
        let Token::Hash(hash) = &operator.token else {
            panic!("{} has no hash", operator.name);
        };
        assert_eq!(*hash.0, expected);
    }
}
