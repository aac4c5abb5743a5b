//! Formats the status of a coordinator as tables for the terminal.

use coordinator::agents::AgentStatus;
use coordinator::index_audits::{AuditedBackend, IndexStatus, MismatchStatus};
use coordinator::status::{CoordinatorStatus, EndpointListStatus, MemberStatus};

/// Formats a status. Each item is a line without its newline.
pub fn format_status(status: &CoordinatorStatus) -> Vec<String> {
    let mut lines = vec![format!(
        "{}: {}, {}",
        status.node,
        if status.has_quorum_contact { "quorum contact" } else { "NO quorum contact" },
        if status.acting_head { "acting head" } else { "not the acting head" },
    )];
    let configuration = &status.configuration;
    lines.push(format!(
        "configuration: generation {}, sequence {} committed, {} stored",
        configuration.generation, configuration.committed_sequence, configuration.stored_sequence
    ));
    lines.push(format_endpoint_list(&status.endpoints));
    let Some(view) = &status.view else {
        lines.push("view: none yet".to_string());
        return lines;
    };
    lines.push(format!("view {}:", view.number));
    lines.extend(format_table(
        &["position", "node", "address", "zone", "recent contact"],
        view.members.iter().map(member_row),
    ));
    lines.push(format!(
        "nodes: {} in the fleet, {} connected to this coordinator",
        status.nodes,
        status.agents.len()
    ));
    if !status.agents.is_empty() {
        lines.extend(format_table(
            &["node", "zone", "applied", "lag", "received ms ago"],
            status.agents.iter().map(agent_row),
        ));
    }
    if let Some(index) = &status.index {
        lines.extend(format_index(index));
    }
    lines
}

/// Formats the audit of the index of prompt blocks: every backend, and the newest mismatches.
fn format_index(index: &IndexStatus) -> Vec<String> {
    let matching = index.backends.iter().filter(|backend| backend.state == "matching").count();
    let mut lines = vec![format!("index: {matching} of {} backends match", index.backends.len())];
    let headers = [
        "backend",
        "blocks",
        "unconfirmed",
        "compared ms ago",
        "dropped",
        "forgotten",
        "size differs",
        "gone by themselves",
        "state",
    ];
    lines.extend(format_table(&headers, index.backends.iter().map(backend_row)));
    let (count, older) = (index.mismatches.len(), index.older_mismatches);
    lines.push(format!("mismatches: {count} shown, {older} older"));
    if count > 0 {
        let headers = [
            "backend",
            "block",
            "kind",
            "tokens in index",
            "tokens at backend",
            "first seen ms ago",
            "observations",
            "outcome",
        ];
        lines.extend(format_table(&headers, index.mismatches.iter().map(mismatch_row)));
    }
    lines
}

fn backend_row(backend: &AuditedBackend) -> Vec<String> {
    let counts = &backend.mismatches;
    vec![
        backend.instance_id.clone(),
        backend.blocks.to_string(),
        backend.unconfirmed.to_string(),
        backend.compared_ms_ago.map_or("-".to_string(), |ms| ms.to_string()),
        counts.dropped.to_string(),
        counts.forgotten.to_string(),
        counts.size_differs.to_string(),
        counts.gone_by_themselves.to_string(),
        backend.state.clone(),
    ]
}

fn mismatch_row(mismatch: &MismatchStatus) -> Vec<String> {
    let tokens = |count: Option<u64>| count.map_or("-".to_string(), |count| count.to_string());
    vec![
        mismatch.instance_id.clone(),
        mismatch.block.clone(),
        format!("{:?}", mismatch.kind),
        tokens(mismatch.tokens_in_index),
        tokens(mismatch.tokens_at_backend),
        mismatch.first_seen_ms_ago.to_string(),
        mismatch.observations.to_string(),
        format!("{:?}", mismatch.outcome),
    ]
}

fn format_endpoint_list(list: &EndpointListStatus) -> String {
    let reader = list.reader.as_deref().unwrap_or("an unknown node");
    format!(
        "backends: {} in list version {}, {} ms old, fetched by {reader}",
        list.count, list.version, list.age_ms
    )
}

fn member_row(member: &MemberStatus) -> Vec<String> {
    vec![
        member.chain_position.map_or("voter".to_string(), |position| position.to_string()),
        member.node.clone().unwrap_or_else(|| "?".to_string()),
        member.address.to_string(),
        member.zone.clone(),
        if member.has_recent_contact { "yes" } else { "NO" }.to_string(),
    ]
}

fn agent_row(agent: &AgentStatus) -> Vec<String> {
    vec![
        agent.node.clone(),
        agent.zone.clone(),
        agent.applied_sequence.to_string(),
        agent.lag.to_string(),
        agent.last_received_ms_ago.to_string(),
    ]
}

/// Formats rows below their headers. Each column is as wide as its widest cell.
fn format_table(headers: &[&str], rows: impl Iterator<Item = Vec<String>>) -> Vec<String> {
    let mut table = vec![headers.iter().map(|header| header.to_string()).collect::<Vec<_>>()];
    table.extend(rows);
    let width = |column: usize| table.iter().map(|row| row[column].chars().count()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..headers.len()).map(width).collect();
    table.iter().map(|row| format_row(row, &widths)).collect()
}

fn format_row(row: &[String], widths: &[usize]) -> String {
    let cells: Vec<String> = row.iter().zip(widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
    format!("  {}", cells.join("  ").trim_end())
}
