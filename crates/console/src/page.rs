use http::Response;

const STYLE: &str = "\
body{font:16px/1.5 system-ui,sans-serif;margin:0 auto;max-width:70rem;padding:0 1rem 3rem}
nav a{margin-right:1rem}table{border-collapse:collapse;width:100%;margin:.5rem 0 1.5rem}
th,td{text-align:left;padding:.25rem .5rem;border-bottom:1px solid #ddd;vertical-align:top}
input{width:100%;box-sizing:border-box;font:inherit;min-width:6rem}button{font:inherit;padding:.4rem 1rem}
pre{background:#f6f6f6;padding:.5rem;overflow-x:auto}.bad{color:#a00}.good{color:#060}
ins{background:#dfd;text-decoration:none;display:block}del{background:#fdd;text-decoration:none;display:block}
.wide{overflow-x:auto}";

/// Returns a complete HTML page with navigation links. Neither `title` nor `body` is escaped.
pub(crate) fn page(status: u16, title: &str, body: &str) -> Response {
    let html = format!(
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">\
         <meta name=\"viewport\" content=\"width=device-width,initial-scale=1\">\
         <title>{title} - oriolerudder</title><style>{STYLE}</style></head><body>\
         <nav><a href=\"/\">Fleet</a><a href=\"/edit\">Edit the document</a></nav>\
         <h1>{title}</h1>{body}</body></html>"
    );
    Response::new(status, "text/html; charset=utf-8", html)
}

/// Escapes text for HTML, including attribute values in double quotes.
pub(crate) fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

/// Returns an HTML table under a heading. Cells are not escaped.
pub(crate) fn table(title: &str, headers: &[&str], rows: &[Vec<String>]) -> String {
    let headers: String = headers.iter().map(|h| format!("<th>{h}</th>")).collect();
    let cell = |text: &String| format!("<td>{text}</td>");
    let row =
        |cells: &Vec<String>| format!("<tr>{}</tr>", cells.iter().map(cell).collect::<String>());
    let rows: String = rows.iter().map(row).collect();
    format!("<h2>{title}</h2><div class=\"wide\"><table><tr>{headers}</tr>{rows}</table></div>")
}
