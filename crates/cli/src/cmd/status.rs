use std::net::SocketAddr;

use bpaf::Bpaf;
use serde_json::Value;

use crate::{cmd::fetch, error::Error};

/// Show the state of the fleet as known to an entry VM
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command)]
pub(crate) struct Status {
    /// Entry VM to query
    #[bpaf(argument("IP:PORT"))]
    entry: SocketAddr,
    /// Print the status as JSON
    json: bool,
}

impl Status {
    pub(crate) async fn run(&self) -> Result<(), Error> {
        let status = fetch(self.entry, "/v1/status").await?;
        if self.json {
            println!("{status:#}");
            return Ok(());
        }
        println!(
            "vm {} in {} ({}), log {}, configuration {}",
            text(&status["vm"]),
            text(&status["domain"]),
            text(&status["region"]),
            if status["log_reachable"] == true { "reachable" } else { "UNREACHABLE" },
            status["config_version"],
        );
        println!("\nentry VMs");
        for entry in rows(&status["entries"]) {
            let heard = &entry["heard_ms_ago"];
            println!(
                "  {:<14} {:<12} heard {} ms ago, configuration {}",
                text(&entry["vm"]),
                text(&entry["domain"]),
                heard,
                entry["config_version"]
            );
        }
        println!("\ncells");
        for cell in rows(&status["cells"]) {
            println!(
                "  {:<20} epoch {:<4} {:<8} primary {} backup {} tasks {}",
                text(&cell["cell"]),
                cell["epoch"],
                text(&cell["role"]),
                text(&cell["primary"]),
                text(&cell["backup"]),
                cell["tasks"]
            );
        }
        println!("\nnewest decisions");
        for decision in rows(&status["decisions"]).iter().take(10) {
            println!(
                "  {:<9} {:<24} {:<10} {}",
                text(&decision["what"]),
                text(&decision["task"]),
                text(&decision["chosen"]),
                text(&decision["why"])
            );
        }
        Ok(())
    }
}

/// Returns the text of a JSON string, empty for any other value.
pub(crate) fn text(value: &Value) -> &str {
    value.as_str().unwrap_or("")
}

fn rows(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}
