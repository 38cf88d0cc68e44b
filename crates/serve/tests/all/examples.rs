//! The settings of the example deployments parse, and agree with what stands beside them.

use primroseroute_fleet::placement::Weights;
use primroseroute_serve::Fields;
use primroseroute_settings::{Settings, secret::Token};
use sha2::{Digest, Sha256};
use std::{fs, path::PathBuf};

const GIB: f64 = 1024.0 * 1024.0 * 1024.0;

/// Names each deployment, with its workers' cores and memory in GiB.
macro_rules! cases {
    ($($name:ident($folder:literal, $cores:literal, $memory:literal);)*) => {$(
        #[test]
        fn $name() {
            agrees($folder, $cores, $memory);
        }
    )*};
}

cases! {
    gojo_beds("gojo-beds", 64.0, 256.0);
    ikeoluwa("ikeoluwa", 16.0, 64.0);
}

fn read(path: &str) -> String {
    let examples = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    fs::read_to_string(examples.join(path)).expect("the example is committed")
}

fn agrees(deployment: &str, cores: f64, memory: f64) {
    let text = read(&format!("settings/{deployment}.yaml"));
    let settings = Settings::parse(&text).unwrap_or_else(|error| panic!("{error}"));
    let fields = Fields::of(&settings);
    let weights = read(&format!("weights/{deployment}.yaml"));
    let weights: Weights = serde_saphyr::from_str(&weights).expect("the weights are valid");
    // Only the ratios count, and the settings' are in hundredths.
    let hundredths = Weights {
        buffer: weights.buffer * 100,
        moves: weights.moves * 100,
        rollout: weights.rollout * 100,
    };
    assert_eq!(fields.weights, hundredths);
    let ours = fields.jobs.capacity;
    let differ = [
        ours.cores - cores,
        ours.memory / GIB - memory,
        ours.accelerators,
    ];
    assert!(differ.iter().all(|by| by.abs() < 1e-9), "{ours:?}");
    assert!(
        fields.peers.len() >= 2,
        "one peer may be down with the store"
    );
    tokens_are_the_examples(&settings);
}

fn tokens_are_the_examples(settings: &Settings) {
    assert!(!settings.secrets.operators.is_empty());
    for operator in &settings.secrets.operators {
        let token = format!("example-token-of-{}", operator.name);
        let digits = Sha256::digest(token)
            .iter()
            .fold(String::new(), |all, byte| all + &format!("{byte:02x}"));
        let Token::Hash(hash) = &operator.token else {
            panic!("{} has no hash", operator.name);
        };
        assert_eq!(*hash.0, digits);
    }
}
