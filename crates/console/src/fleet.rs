use std::{collections::BTreeMap, net::SocketAddr};

use http::Response;
use serde_json::Value;

use crate::{
    page::{escape, page, table},
    upstream::Upstream,
};

/// Maximum number of decisions shown.
const MAX_DECISIONS: usize = 30;

/// Shows the status of the fleet, as reported by each entry VM.
pub(crate) async fn show(upstream: &Upstream) -> Response {
    let statuses = upstream.status().await;
    let body = [
        entry_table(&statuses),
        cell_table(&statuses),
        server_table(&statuses),
        decision_table(&statuses),
    ];
    page(200, "Fleet", &body.concat())
}

fn text(value: &Value) -> String {
    match value {
        Value::String(text) => escape(text),
        Value::Null => "-".to_owned(),
        other => escape(&other.to_string()),
    }
}

fn rows(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

fn entry_table(statuses: &[(SocketAddr, Option<Value>)]) -> String {
    let row = |(addr, status): &(SocketAddr, Option<Value>)| match status {
        None => vec![addr.to_string(), "<b class=\"bad\">no answer</b>".into()],
        Some(s) => vec![
            text(&s["vm"]),
            text(&s["domain"]),
            text(&s["region"]),
            text(&s["config_version"]),
            if s["log_reachable"] == true {
                "reachable".into()
            } else {
                "<b class=\"bad\">unreachable</b>".into()
            },
            text(&s["journal_waiting"]),
        ],
    };
    let headers = ["entry VM", "domain", "region", "in force", "log", "waits for the log"];
    table("Entry VMs", &headers, &statuses.iter().map(row).collect::<Vec<_>>())
}

/// Returns each cell by name, as reported by its primary.
fn primary_cells(statuses: &[(SocketAddr, Option<Value>)]) -> BTreeMap<String, &Value> {
    let all = statuses.iter().filter_map(|(_, s)| s.as_ref()).flat_map(|s| rows(&s["cells"]));
    let owned = all.filter(|cell| cell["role"] == "primary");
    owned.map(|cell| (text(&cell["cell"]), cell)).collect()
}

/// Formats the numbers of tasks by phase, such as `3 running, 1 queued`.
fn phase_counts(tasks: &Value) -> String {
    let phases = tasks.as_object().into_iter().flatten();
    let counts: Vec<String> = phases.map(|(phase, n)| format!("{n} {}", escape(phase))).collect();
    if counts.is_empty() { "-".to_owned() } else { counts.join(", ") }
}

fn cell_table(statuses: &[(SocketAddr, Option<Value>)]) -> String {
    let row = |(name, cell): (&String, &&Value)| {
        vec![
            name.clone(),
            text(&cell["epoch"]),
            text(&cell["primary"]),
            text(&cell["backup"]),
            if cell["deciding"] == true { "yes".into() } else { "<b class=\"bad\">no</b>".into() },
            phase_counts(&cell["tasks"]),
        ]
    };
    let cells = primary_cells(statuses);
    let headers = ["cell", "epoch", "primary", "backup", "decides", "tasks"];
    table("Cells and queue", &headers, &cells.iter().map(row).collect::<Vec<_>>())
}

fn server_table(statuses: &[(SocketAddr, Option<Value>)]) -> String {
    let cells = primary_cells(statuses);
    let mut lines = Vec::new();
    for (name, cell) in &cells {
        for server in rows(&cell["servers"]) {
            let size = |s: &Value| format!("{} m, {} MB, {}", s["cpu"], s["memory"], s["accel"]);
            lines.push(vec![
                text(&server["vm"]),
                name.clone(),
                text(&server["state"]),
                size(&server["size"]),
                size(&server["committed"]),
                text(&server["slots_held"]),
            ]);
        }
    }
    let headers = ["backend server", "cell", "state", "size", "committed to tasks", "slots held"];
    table("Backend servers", &headers, &lines)
}

fn decision_table(statuses: &[(SocketAddr, Option<Value>)]) -> String {
    let mut all: Vec<&Value> = statuses
        .iter()
        .filter_map(|(_, s)| s.as_ref())
        .flat_map(|s| rows(&s["decisions"]))
        .collect();
    all.sort_by_key(|d| std::cmp::Reverse(d["at"].as_u64()));
    let row = |d: &&Value| {
        let fields = ["what", "task", "cell", "chosen", "candidates", "why"];
        fields.iter().map(|f| text(&d[*f])).collect()
    };
    let lines: Vec<Vec<String>> = all.iter().take(MAX_DECISIONS).map(row).collect();
    table("Newest decisions", &["what", "task", "cell", "chosen", "candidates", "why"], &lines)
}
