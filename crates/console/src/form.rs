use std::collections::BTreeMap;

use base::Size;
use conf::{Class, Document, Fault, JobKind, Rental, Service, Team};
use http_types::Url;

/// Contents of the forms, as typed.
///
/// A field is named `SECTION.ROW.FIELD`, such as `services.0.name`. Rows without a name
/// are ignored.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Form {
    /// Version that the document was edited from.
    pub base: u64,
    /// Whether to publish the document; if not, only the difference is shown.
    pub publish: bool,
    fields: BTreeMap<String, String>,
}

/// Sections with their fields; the first field names the row.
pub(crate) const SECTIONS: [(&str, &[&str]); 5] = [
    ("domains", &["name", "region"]),
    ("services", &["name", "target_ms", "slots", "connections", "cpu", "memory", "accel"]),
    ("kinds", &["name", "cpu", "memory", "accel", "work_ms", "class", "attempts"]),
    ("teams", &["name", "weight", "cpu", "memory", "accel"]),
    ("rentals", &["vm", "until_ms"]),
];

impl Form {
    /// Parses the body of a submitted form (`application/x-www-form-urlencoded`).
    /// A missing or malformed `base` counts as 0.
    pub fn parse(body: &[u8]) -> Form {
        let text = String::from_utf8_lossy(body);
        let mut form = Form::default();
        let Ok(url) = Url::parse(&format!("http://form/?{text}")) else { return form };
        for (key, value) in url.query_pairs() {
            match &*key {
                "base" => form.base = value.trim().parse().unwrap_or(0),
                "publish" => form.publish = true,
                _ => {
                    form.fields.insert(key.into_owned(), value.trim().to_owned());
                }
            }
        }
        form
    }

    /// Fills in the forms with a document of version `base`.
    pub fn from_document(base: u64, document: &Document) -> Form {
        let mut form = Form { base, ..Form::default() };
        for (i, (domain, region)) in document.domains.iter().enumerate() {
            form.set_row("domains", i, &[domain, region]);
        }
        for (i, s) in document.services.iter().enumerate() {
            let numbers = [s.target_ms, s.slots.into(), s.connections.into()];
            form.set_numeric_row("services", i, &s.name, &numbers, s.reserve);
        }
        for (i, k) in document.kinds.iter().enumerate() {
            form.set_numeric_row("kinds", i, &k.name, &[], k.size);
            form.set("kinds", i, "work_ms", k.work_ms.to_string());
            form.set("kinds", i, "class", class_name(k.class).to_owned());
            form.set("kinds", i, "attempts", k.attempts.to_string());
        }
        for (i, t) in document.teams.iter().enumerate() {
            form.set_numeric_row("teams", i, &t.name, &[t.weight.into()], t.quota);
        }
        for (i, r) in document.rentals.iter().enumerate() {
            form.set_row("rentals", i, &[&r.vm, &r.until_ms.to_string()]);
        }
        form
    }

    /// Builds the document that the forms describe.
    ///
    /// # Errors
    /// Fields that cannot be parsed; if there are none, every fault of the document.
    pub fn document(&self) -> Result<Document, Vec<Fault>> {
        let mut faults = Vec::new();
        let document = self.read(&mut faults);
        if faults.is_empty()
            && let Err(e) = document.check(None)
        {
            match e {
                conf::Error::Faults { faults: more, .. } => faults.extend(more),
                other => faults.push(Fault::new("document", "", other.to_string(), "")),
            }
        }
        if faults.is_empty() { Ok(document) } else { Err(faults) }
    }

    /// Returns the numbers of the rows of a section that have a name, in ascending order.
    pub(crate) fn rows(&self, section: &str) -> Vec<usize> {
        let name = SECTIONS.iter().find(|(s, _)| *s == section).map_or("name", |(_, f)| f[0]);
        let row_number = |key: &String| {
            let (row, field) = key.strip_prefix(section)?.strip_prefix('.')?.split_once('.')?;
            (field == name).then(|| row.parse().ok()).flatten()
        };
        let named = self.fields.iter().filter(|(_, value)| !value.is_empty());
        let mut rows: Vec<usize> = named.filter_map(|(key, _)| row_number(key)).collect();
        rows.sort_unstable();
        rows
    }

    /// Returns the text of a field, empty if the field is missing.
    pub(crate) fn get(&self, section: &str, row: usize, field: &str) -> &str {
        self.fields.get(&format!("{section}.{row}.{field}")).map_or("", String::as_str)
    }

    fn set(&mut self, section: &str, row: usize, field: &str, value: String) {
        self.fields.insert(format!("{section}.{row}.{field}"), value);
    }

    fn set_row(&mut self, section: &str, row: usize, values: &[&str]) {
        let fields = SECTIONS.iter().find(|(s, _)| *s == section).map_or(&[][..], |(_, f)| f);
        for (field, value) in fields.iter().zip(values) {
            self.set(section, row, field, (*value).to_owned());
        }
    }

    /// Sets a row that consists of a name, numbers and a size.
    fn set_numeric_row(&mut self, section: &str, row: usize, name: &str, more: &[u64], size: Size) {
        let mut values = vec![name.to_owned()];
        values.extend(more.iter().map(u64::to_string));
        values.extend([size.cpu, size.memory, size.accel].iter().map(u64::to_string));
        let values: Vec<&str> = values.iter().map(String::as_str).collect();
        self.set_row(section, row, &values);
    }

    fn read(&self, faults: &mut Vec<Fault>) -> Document {
        let mut document = Document::default();
        for row in self.rows("domains") {
            let name = self.get("domains", row, "name").into();
            document.domains.insert(name, self.get("domains", row, "region").into());
        }
        for row in self.rows("services") {
            document.services.push(Service {
                name: self.get("services", row, "name").into(),
                target_ms: self.number("services", row, "target_ms", faults),
                slots: self.number("services", row, "slots", faults) as u32,
                connections: self.number("services", row, "connections", faults) as u32,
                reserve: self.size("services", row, faults),
            });
        }
        for row in self.rows("kinds") {
            document.kinds.push(JobKind {
                name: self.get("kinds", row, "name").into(),
                size: self.size("kinds", row, faults),
                work_ms: self.number("kinds", row, "work_ms", faults),
                class: self.class(row, faults),
                attempts: self.number("kinds", row, "attempts", faults) as u32,
            });
        }
        for row in self.rows("teams") {
            document.teams.push(Team {
                name: self.get("teams", row, "name").into(),
                weight: self.number("teams", row, "weight", faults) as u32,
                quota: self.size("teams", row, faults),
            });
        }
        for row in self.rows("rentals") {
            document.rentals.push(Rental {
                vm: self.get("rentals", row, "vm").into(),
                until_ms: self.number("rentals", row, "until_ms", faults),
            });
        }
        document
    }

    fn size(&self, section: &str, row: usize, faults: &mut Vec<Fault>) -> Size {
        Size {
            cpu: self.number(section, row, "cpu", faults),
            memory: self.number(section, row, "memory", faults),
            accel: self.number(section, row, "accel", faults),
        }
    }

    /// Parses a whole number of at most 9 digits, or 15 for `until_ms`; an empty field is 0.
    fn number(&self, section: &str, row: usize, field: &str, faults: &mut Vec<Fault>) -> u64 {
        let text = self.get(section, row, field);
        if text.is_empty() {
            return 0;
        }
        let max_digits = if field == "until_ms" { 15 } else { 9 };
        text.parse().ok().filter(|_| text.len() <= max_digits).unwrap_or_else(|| {
            let problem = format!("not a whole number of up to {max_digits} digits: {text:?}");
            let path = format!("{section}.{}", self.get(section, row, "name"));
            faults.push(Fault::new(path, field, problem, "write digits only"));
            0
        })
    }

    fn class(&self, row: usize, faults: &mut Vec<Fault>) -> Class {
        match self.get("kinds", row, "class") {
            "urgent" => Class::Urgent,
            "normal" | "" => Class::Normal,
            other => {
                let path = format!("kinds.{}", self.get("kinds", row, "name"));
                let problem = format!("not a class: {other:?}");
                faults.push(Fault::new(path, "class", problem, "write urgent or normal"));
                Class::Normal
            }
        }
    }
}

fn class_name(class: Class) -> &'static str {
    match class {
        Class::Urgent => "urgent",
        Class::Normal => "normal",
    }
}
