//! Tests of `mix`, which see its private items.

use super::*;

const KEYS: KeyDistribution = KeyDistribution { count: 100, exponent: 1.0 };

fn class(weight: f64) -> RequestClass {
    RequestClass {
        name: "c".into(),
        weight,
        method: "GET".into(),
        path: "/".into(),
        keyed: false,
        body: 0,
        timeout_ms: 1,
    }
}

#[test]
fn classes_tenants_and_keys_are_drawn_by_their_weights() {
    let mut mix = RequestMix::new(&[class(68.0), class(0.0), class(32.0)], &[1.0, 3.0], KEYS, 5);
    let drawn: Vec<_> = (0..20_000).map(|_| mix.draw()).collect();
    let share = |of: &dyn Fn(&DrawnRequest) -> bool| drawn.iter().filter(|d| of(d)).count() as f64 / 20_000.0;
    assert!((share(&|d| d.class == 0) - 0.68).abs() < 0.015);
    assert_eq!(share(&|d| d.class == 1), 0.0);
    assert!((share(&|d| d.tenant == Some(1)) - 0.75).abs() < 0.015);
    // With 100 keys and an exponent of 1 the first key has a probability of 1 / H(100) = 0.193, the second
    // half of that.
    assert!((share(&|d| d.key == 1) - 0.193).abs() < 0.012);
    assert!((share(&|d| d.key == 2) - 0.096).abs() < 0.01);
    assert!(drawn.iter().all(|d| (1..=100).contains(&d.key)));
    let mut again = RequestMix::new(&[class(68.0), class(0.0), class(32.0)], &[1.0, 3.0], KEYS, 5);
    assert!(drawn.iter().all(|d| *d == again.draw()), "the same seed gives the same draws");
    assert_eq!(
        RequestMix::new(&[class(1.0)], &[], KeyDistribution { count: 1, exponent: 0.0 }, 5).draw().tenant,
        None
    );
}
