//! Challenge-response authentication.

use crate::{cases, fake::identity};
use expect_test::expect;
use primroseroute_peer::proof::{Key, KeyTooShort, Nonce, Side, Statement};

fn hex(bytes: &[u8]) -> String {
    bytes
        .iter()
        .fold(String::new(), |text, byte| text + &format!("{byte:02x}"))
}

/// RFC 4231, test cases 1 (short key) and 6 (key longer than a block).
fn rfc_4231() {
    let key = Key::new(&[0x0b; 20]).unwrap();
    expect!["b0344c61d8db38535ca8afceaf0bf12b881dc200c9833da726e9376c2e32cff7"]
        .assert_eq(&hex(&key.hmac(&[b"Hi ", b"There"])));
    let key = Key::new(&[0xaa; 131]).unwrap();
    expect!["60e431591ee0b67f0d8a26aacbf5b77f8e0bc6213728c5140546040f0ee37f54"].assert_eq(&hex(
        &key.hmac(&[b"Test Using Larger Than Block-Size Key - Hash Key First"]),
    ));
}

/// An attacker uses a recorded proof for a different statement: another nonce, another name, another
/// incarnation, the other direction. None may verify.
fn covers() {
    let key = Key::new(&[7; 32]).unwrap();
    let (a, b) = (identity("a", 1), identity("b", 1));
    let restarted = identity("a", 2);
    let statement = Statement {
        side: Side::Caller,
        callee: Nonce([1; 16]),
        caller: Nonce([2; 16]),
        identity: &a,
    };
    let proof = statement.prove(&key);
    assert!(statement.verify(&key, &proof));
    let others = [
        Statement {
            side: Side::Callee,
            ..statement
        },
        Statement {
            callee: Nonce([3; 16]),
            ..statement
        },
        Statement {
            caller: Nonce([3; 16]),
            ..statement
        },
        Statement {
            identity: &b,
            ..statement
        },
        Statement {
            identity: &restarted,
            ..statement
        },
    ];
    for other in others {
        assert!(!other.verify(&key, &proof), "{other:?}");
    }
    let other_key = Key::new(&[8; 32]).unwrap();
    assert!(!statement.verify(&other_key, &proof));
    assert!(!statement.verify(&key, &proof[..31]));
}

fn short_key() {
    assert_eq!(Key::new(&[1; 15]).unwrap_err(), KeyTooShort(15));
    assert_eq!(format!("{:?}", Key::new(&[1; 16]).unwrap()), "Key(..)");
}

cases! {
    hmac_matches_rfc_4231 => rfc_4231();
    proof_covers_the_whole_statement => covers();
    short_key_is_rejected_and_keys_are_not_printed => short_key();
}
