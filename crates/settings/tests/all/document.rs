//! The documented default and the reference page agree with the code.

use primroseroute_settings::{Settings, documented, reference};

#[test]
fn documented_parses_to_defaults() {
    let parsed = Settings::parse(&documented()).expect("the documented default is valid");
    assert_eq!(parsed, Settings::default());
}

#[test]
fn documented_names_every_key() {
    // Only the required keys: omitting all others must give the same settings, so no documented value
    // differs from its default.
    let text = documented();
    let required: Vec<&str> = text
        .lines()
        .zip(text.lines().skip(1))
        .filter(|(comment, _)| comment.ends_with("Required."))
        .map(|(_, key)| key.trim())
        .collect();
    assert_eq!(
        required,
        [
            "name: entry-1",
            "zone: zone-a",
            "region: region-1",
            "peers: 127.0.0.1:8082",
            "url: http://127.0.0.1:7000",
            "peer-key:",
        ]
    );
    let minimal = "entry: {name: entry-1, zone: zone-a, region: region-1}\n\
                 listen: {peers: '127.0.0.1:8082'}\n\
                 platform: {url: 'http://127.0.0.1:7000'}\n\
                 secrets: {peer-key: {env: PRIMROSEROUTE_PEER_KEY}}\n";
    assert_eq!(
        Settings::parse(minimal).expect("no required key is missing"),
        Settings::default()
    );
}

#[test]
fn page_is_the_reference() {
    expect_test::expect_file!["../../../../docs/settings.md"].assert_eq(&reference());
}
