//! The documents of a trial: valid ones show in what they allow which version is in force, and the waves of a
//! seed are always the same.

use control_trials::deploy_file::{Role, RoleCommands};
use control_trials::disruption::{Wave, draw_wave};
use control_trials::document::{Flaw, Handling, SERVICES, TestRequest, Version};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::path::Path;

#[test]
fn successive_versions_differ_in_a_route_a_key_and_a_service() {
    let mut version = Version::first(1);
    for generation in 2..40 {
        let next = version.next(generation, SERVICES[generation as usize % 3]);
        for request in [TestRequest::Added(generation), TestRequest::Key(generation)] {
            assert!(matches!(version.handling(request), Handling::Refused(_)), "{request:?}");
            assert_eq!(next.handling(request), Handling::RunBy(SERVICES[0]));
        }
        version = next;
    }
    assert_eq!(version.handling(TestRequest::Added(2)), Handling::Refused(404), "old routes are dropped");
    assert_eq!(version.handling(TestRequest::Key(2)), Handling::Refused(401), "old keys are dropped");
}

#[test]
fn each_flaw_changes_the_document() {
    let base = Version::first(1).next(2, SERVICES[1]);
    let documents: Vec<Vec<u8>> = Flaw::ALL.iter().map(|flaw| flaw.document(&base, 1)).collect();
    for (number, document) in documents.iter().enumerate() {
        assert!(!documents[..number].contains(document), "{:?}", Flaw::ALL[number]);
    }
}

#[test]
fn a_seed_draws_the_same_waves_each_time() {
    let waves = |seed| {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        (0..20).map(|_| draw_wave(&mut random, 4)).collect::<Vec<Wave>>()
    };
    assert_eq!(waves(7), waves(7));
    assert_ne!(waves(7), waves(8));
}

#[test]
fn the_deploy_file_names_the_command_of_each_role() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/system.toml");
    let commands = RoleCommands::load(&path).expect("a deploy file");
    for role in [Role::Coordinator, Role::Agent, Role::DataPlane] {
        assert_eq!(commands.arguments(role).first().map(String::as_str), Some(role.name()));
    }
}
