//! Sample pages of the platform's list, and the result of parsing each of them, compared with golden files.
//!
//! The pages (`*.json`) in `tests/golden/interfaces/platform` stand for what the platform sends, and are
//! edited only by hand. The results (`*.read.txt`) are updated only on request: `GOLDEN=write cargo test -p
//! coordinator --test golden_platform_list`. Otherwise a missing or different file fails the test, which
//! shows the first difference.

#[path = "../../control-protocol/tests/golden/compare.rs"]
mod compare;

use control_protocol::{Backend, BackendState};
use coordinator::endpoints::platform_page::{PlatformPage, parse_page};
use std::fmt::Write;

/// The sample pages, each of which covers a different form.
const PAGES: [&str; 6] = ["full", "least", "later", "entries_at_fault", "last_with_null", "none"];

#[test]
fn parsed_pages_match_the_golden_files() {
    for name in PAGES {
        let text = compare::read(&format!("interfaces/platform/{name}.json"));
        let page = parse_page(text.as_bytes()).expect("a page");
        compare::assert_matches_golden(&format!("interfaces/platform/{name}.read.txt"), &describe(&page));
    }
}

#[test]
fn all_sample_pages_are_covered() {
    let folder = std::fs::read_dir(compare::path("interfaces/platform")).expect("the folder");
    let names = folder.map(|entry| entry.expect("an entry").file_name().into_string().expect("a name"));
    let mut pages: Vec<String> =
        names.filter_map(|name| Some(name.strip_suffix(".json")?.to_owned())).collect();
    pages.sort();
    let mut expected = PAGES.map(str::to_owned);
    expected.sort();
    assert_eq!(pages, expected);
}

/// Everything that was parsed from a page, under the names of the page's fields. Golden files hold these
/// texts.
fn describe(page: &PlatformPage) -> String {
    let PlatformPage { endpoints, next_page_token, skipped, first_error } = page;
    let mut text =
        format!("next_page_token: {next_page_token:?}\nskipped: {skipped}\nproblem: {first_error:?}\n");
    for endpoint in endpoints {
        let Backend { instance_id, service, address, zone, generation, slots, state, cold_remaining_ms } =
            endpoint;
        let state = match state {
            BackendState::Ready => "takes new work",
            BackendState::Draining => "takes no new work",
        };
        write!(
            text,
            "\ninstance_id: {instance_id:?}\nservice: {service:?}\naddress: {address}\nzone: {zone:?}\n\
             generation: {generation:?}\nslots: {slots}\nstate: {state}\ncold_remaining_ms: {cold_remaining_ms}\n"
        )
        .expect("to a text");
    }
    text
}
