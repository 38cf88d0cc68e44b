//! Linear fit and size of the reference deployment.

use primroseroute_capacity::{LinearFit, Size};

#[test]
fn line_of_exact_points() {
    let line = LinearFit::new(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]).expect("three sizes");
    assert!((line.base - 3.0).abs() < 1e-9 && (line.slope - 2.0).abs() < 1e-9);
    assert!((line.fit - 1.0).abs() < 1e-9);
    assert!((line.value_at(10.0) - 23.0).abs() < 1e-9);
}

#[test]
fn scattered_points_fit_less() {
    let line = LinearFit::new(&[(1.0, 1.0), (2.0, 9.0), (3.0, 2.0), (4.0, 8.0)]);
    assert!(line.expect("four sizes").fit < 0.5);
}

#[test]
fn one_size_has_no_line() {
    assert_eq!(LinearFit::new(&[(2.0, 1.0), (2.0, 3.0)]), None);
}

#[test]
fn letter_has_its_pools_and_accounts() {
    let size = Size {
        entries: 28,
        workers: 1200,
    };
    assert_eq!(
        (size.pools(), size.accounts(), size.loaded_workers()),
        (270, 140, 342)
    );
}
