//! The built-in plans, compiled in from `deploy/trials`.

/// The name and the TOML text of each built-in plan.
pub const PLANS: [(&str, &str); 10] = [
    ("killed", include_str!("../../../deploy/trials/killed.toml")),
    ("stalled", include_str!("../../../deploy/trials/stalled.toml")),
    ("in-turn", include_str!("../../../deploy/trials/in-turn.toml")),
    ("all-at-once", include_str!("../../../deploy/trials/all-at-once.toml")),
    ("silent-discovery", include_str!("../../../deploy/trials/silent-discovery.toml")),
    ("answers-lost", include_str!("../../../deploy/trials/answers-lost.toml")),
    ("slow-site", include_str!("../../../deploy/trials/slow-site.toml")),
    ("late-drain", include_str!("../../../deploy/trials/late-drain.toml")),
    ("other-node", include_str!("../../../deploy/trials/other-node.toml")),
    ("draws", include_str!("../../../deploy/trials/draws.toml")),
];

/// The TOML text of the built-in plan of this name; `None` if there is none.
pub fn plan_text(name: &str) -> Option<&'static str> {
    PLANS.iter().find(|(known, _)| *known == name).map(|(_, text)| *text)
}
