use conf::{Config, Document, Fault};
use http::Response;

use crate::{
    diff::diff,
    form::{Form, SECTIONS},
    page::{escape, page},
    upstream::{PublishOutcome, Upstream},
};

/// Empty rows at the end of each section, for new entries.
const SPARE_ROWS: usize = 2;

/// Shows the forms, filled in with the document in force.
pub(crate) async fn show(upstream: &Upstream) -> Response {
    match upstream.config().await {
        Some(config) => forms(200, &Form::from_document(config.version, &config.document), ""),
        None => unreachable_page(),
    }
}

/// Handles submitted forms: shows the difference to the document in force, or publishes.
pub(crate) async fn submit(upstream: &Upstream, body: &[u8]) -> Response {
    let form = Form::parse(body);
    let document = match form.document() {
        Ok(document) => document,
        Err(faults) => return forms(400, &form, &fault_list(&faults)),
    };
    let Some(config) = upstream.config().await else { return unreachable_page() };
    if !form.publish {
        return forms(200, &form, &difference(&config, &document));
    }
    match upstream.publish(form.base, &document).await {
        PublishOutcome::Accepted(version) => {
            let note = format!("<p class=\"good\">Version {version} is in force.</p>");
            forms(200, &Form::from_document(version, &document), &note)
        }
        PublishOutcome::Unconfirmed(reason) => {
            let note = format!("<p class=\"bad\">{}</p>", escape(&reason));
            forms(503, &form, &note)
        }
        PublishOutcome::Conflict(winner) => conflict(form, &winner, &document),
    }
}

/// Shows the forms after another document took effect first. The edits are kept, based on
/// the new version, so that they can be published on top of it.
fn conflict(mut form: Form, winner: &Config, document: &Document) -> Response {
    let edited = form.base;
    form.base = winner.version;
    let note = format!(
        "<p class=\"bad\">Nothing was changed: version {} came first, and these edits were made \
         from version {edited}. They are kept below. This is what publishing them now would \
         change:</p>{}",
        winner.version,
        difference(winner, document)
    );
    forms(409, &form, &note)
}

fn unreachable_page() -> Response {
    page(503, "No entry VM answers", "<p class=\"bad\">Nothing was changed. Try again.</p>")
}

fn fault_list(faults: &[Fault]) -> String {
    let line = |f: &Fault| format!("<li class=\"bad\">{}</li>", escape(&f.to_string()));
    format!("<ul>{}</ul>", faults.iter().map(line).collect::<String>())
}

fn difference(config: &Config, document: &Document) -> String {
    let text = |d: &Document| serde_json::to_string_pretty(d).unwrap_or_default();
    let (before, after) = (text(&config.document), text(document));
    let lines = diff(&before, &after);
    if lines.iter().all(|(mark, _)| *mark == ' ') {
        return format!("<p>No difference to version {}, which is in force.</p>", config.version);
    }
    let line = |(mark, line): &(char, &str)| match mark {
        '+' => format!("<ins>+ {}</ins>", escape(line)),
        '-' => format!("<del>- {}</del>", escape(line)),
        _ => format!("  {}\n", escape(line)),
    };
    let lines: String = lines.iter().map(line).collect();
    format!("<h2>Difference to version {}</h2><pre>{lines}</pre>", config.version)
}

fn forms(status: u16, form: &Form, note: &str) -> Response {
    let sections: String =
        SECTIONS.iter().map(|(name, fields)| section(form, name, fields)).collect();
    let body = format!(
        "{note}<form method=\"post\" action=\"/edit\">\
         <p>Edited from version {base}. Sizes are in thousandths of a core and MB, times in \
         milliseconds. A row without a name is left out.</p>\
         <input type=\"hidden\" name=\"base\" value=\"{base}\">{sections}\
         <button>Show the difference</button> \
         <button name=\"publish\" value=\"1\">Publish as a whole</button></form>",
        base = form.base
    );
    page(status, "Document", &body)
}

fn section(form: &Form, name: &str, fields: &[&str]) -> String {
    let rows = form.rows(name);
    let next = rows.last().map_or(0, |last| last + 1);
    let headers: String = fields.iter().map(|f| format!("<th>{f}</th>")).collect();
    let input = |row: usize, field: &str| {
        format!(
            "<td><input name=\"{name}.{row}.{field}\" value=\"{}\" aria-label=\"{field}\"></td>",
            escape(form.get(name, row, field))
        )
    };
    let line = |row: usize| {
        format!("<tr>{}</tr>", fields.iter().map(|f| input(row, f)).collect::<String>())
    };
    let lines: String = rows.into_iter().chain(next..next + SPARE_ROWS).map(line).collect();
    format!("<h2>{name}</h2><div class=\"wide\"><table><tr>{headers}</tr>{lines}</table></div>")
}
