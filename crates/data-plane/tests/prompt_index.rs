//! The prompt index: the changes that a data plane reports to its agent, and the corrections that it applies.

mod harness;

use control_protocol::{FromProxy, IndexChange, ToProxy, instance_key};
use harness::{DataPlane, chunk, configuration, event, next_request_of, request, stream_head};
use routing::{PromptBlock, prompt_block_keys};
use serde_json::json;
use test_peers::Listener;

const PROMPT: &str = "X-Model: m\r\nX-Token-Usage: 1500,60\r\nX-Prompt-Prefix: a1:1000,b2:500\r\n";

/// The next message with index changes: whether it restarts the index, and the changes.
fn next_index_changes(plane: &DataPlane) -> (bool, Vec<IndexChange>) {
    loop {
        if let FromProxy::IndexChanges { restart, changes } = plane.next_to_agent() {
            return (restart, changes);
        }
    }
}

/// The changes by which the blocks of [`PROMPT`] are reported as cached at a backend.
fn blocks(instance: &str) -> Vec<IndexChange> {
    let blocks = [PromptBlock { id: 0xa1, tokens: 1000 }, PromptBlock { id: 0xb2, tokens: 500 }];
    let keys = prompt_block_keys("m", &blocks).into_iter().zip(blocks);
    keys.map(|(key, block)| IndexChange {
        backend: instance_key(instance),
        block: key,
        tokens: Some(block.tokens),
    })
    .collect()
}

/// Sends a streaming request with [`PROMPT`], serves it, and returns the instance id of its backend.
fn send_prompt(plane: &DataPlane, backends: &[&Listener]) -> String {
    let mut client = plane.client();
    client.write(request("POST /read/1", "r-1", &format!("{PROMPT}Connection: close\r\n"), "x"));
    let (_, message, mut backend) = next_request_of(backends);
    let instance = message.header("x-expected-instance").expect("an instance id").to_string();
    backend.write(stream_head("r-1") + &chunk(&event(1)) + "0\r\n\r\n");
    client.read_to_end();
    instance
}

#[test]
fn cached_blocks_are_reported_and_corrections_are_applied() {
    let backends = [Listener::new(), Listener::new()];
    let backends: Vec<&Listener> = backends.iter().collect();
    let audited = configuration(|document| {
        for service in document["services"].as_array_mut().expect("services") {
            service["holdings_path"] = json!("/holdings");
            service["engine"] = json!({"slots": 8, "kv_capacity_tokens": 100_000});
        }
    });
    let plane = DataPlane::new(&audited, &backends);
    let instance = send_prompt(&plane, &backends);
    assert_eq!(next_index_changes(&plane), (false, blocks(&instance)));
    let dropped = IndexChange { tokens: None, ..blocks(&instance)[1] };
    plane.send_from_agent(ToProxy::IndexCorrections(vec![dropped]));
    assert_eq!(next_index_changes(&plane), (false, vec![dropped]));
    plane.send_from_agent(ToProxy::IndexRequested);
    assert_eq!(next_index_changes(&plane), (true, Vec::new()));
    assert_eq!(next_index_changes(&plane), (false, blocks(&instance)[..1].to_vec()));
}
