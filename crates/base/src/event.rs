use std::fmt::{self, Display};

/// A value of a log line, quoted where it is empty or contains a space, quote, equals
/// sign or newline.
#[derive(Debug)]
pub struct Field<T>(pub T);

impl<T: Display> Display for Field<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = self.0.to_string();
        if text.is_empty() || text.contains([' ', '"', '=', '\n']) {
            return write!(f, "{text:?}");
        }
        f.write_str(&text)
    }
}

/// Logs one event as a line of `key=value` pairs at level `info`.
///
/// `event!("place", task = id, chosen = backend)` logs
/// `event=place task=j1#0 chosen=b1`.
#[macro_export]
macro_rules! event {
    ($name:literal $(, $key:ident = $value:expr)* $(,)?) => {
        $crate::__log::info!(
            concat!("event=", $name $(, " ", stringify!($key), "={}")*)
            $(, $crate::Field(&$value))*
        )
    };
}
