use std::net::SocketAddr;

use bpaf::Bpaf;

use crate::{
    cmd::{fetch, status::text},
    error::Error,
};

/// Explain why a task is waiting, ran on its server or was evicted
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command)]
pub(crate) struct Explain {
    /// Entry VM to query
    #[bpaf(argument("IP:PORT"))]
    entry: SocketAddr,
    /// Print the report as JSON
    json: bool,
    /// Identifier of a job, or of a task as JOB#INDEX
    #[bpaf(positional("TASK"))]
    task: String,
}

impl Explain {
    pub(crate) async fn run(&self) -> Result<(), Error> {
        let id = self.task.replace('#', "%23");
        let report = fetch(self.entry, &format!("/v1/explain/{id}")).await?;
        if self.json || report.get("phase").is_none() {
            println!("{report:#}");
            return Ok(());
        }
        println!("task     {}", text(&report["id"]));
        println!("cell     {}", text(&report["cell"]));
        println!("phase    {} {}", text(&report["phase"]), text(&report["backend"]));
        println!("attempt  {}, evicted {} times", report["attempt"], report["evictions"]);
        println!("reason   {}", text(&report["reason"]));
        for decision in report["decisions"].as_array().into_iter().flatten() {
            println!(
                "  {} {} {} of {} servers: {}",
                decision["at"],
                text(&decision["what"]),
                text(&decision["chosen"]),
                decision["candidates"],
                text(&decision["why"])
            );
        }
        Ok(())
    }
}
