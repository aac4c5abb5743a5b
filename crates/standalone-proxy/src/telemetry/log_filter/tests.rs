//! Log filters that name former modules are translated to the current ones.

use super::translate;

#[test]
fn levels_current_modules_and_other_packages_are_unchanged() {
    for unchanged in
        ["debug", "info,hyper=warn", "warn,standalone_proxy::upstream=debug", "marlwinch::exchange=off"]
    {
        assert_eq!(translate(unchanged), unchanged);
    }
}

#[test]
fn former_modules_are_translated_to_the_current_ones() {
    let translated = translate("info,marlwinch::boxes=debug");
    assert_eq!(translated, "info,standalone_proxy::upstream=debug,http_transport=debug");
    assert_eq!(
        translate("marlwinch::boxes::backends=debug"),
        "standalone_proxy::upstream=debug,http_transport=debug"
    );
    assert_eq!(translate("marlwinch::platform=trace"), "standalone_proxy::platform_node=trace");
    assert_eq!(
        translate("standalone_proxy::upstream::backends=debug,standalone_proxy::decision_loop::gated=trace"),
        "standalone_proxy::upstream=debug,standalone_proxy::decision_loop::admission_gate=trace"
    );
    let translated = translate("standalone_proxy::platform_node::run=warn");
    assert_eq!(
        translated,
        "standalone_proxy::platform_node::run=warn,standalone_proxy::platform_node::reload=warn"
    );
    let whole = "marlwinch=debug,standalone_proxy=debug,http_transport=debug,data_plane=debug";
    assert_eq!(translate("marlwinch=debug"), whole);
    assert_eq!(translate("marlwinchers=debug"), "marlwinchers=debug", "only whole module names match");
}
