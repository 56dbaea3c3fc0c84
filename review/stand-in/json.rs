//! A small JSON reader.

/// A JSON value.
#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool,
    Number(f64),
    Text(String),
    /// No call of the system needs what a list contains.
    List,
    Object(Vec<(String, Json)>),
}

impl Json {
    /// Reads a text; `None` if it is not valid.
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = value(bytes, &mut at)?;
        space(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, value)| value),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Json::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name) {
            Some(Json::Number(number)) => Some(*number as u64),
            _ => None,
        }
    }
}

fn space(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn take(bytes: &[u8], at: &mut usize, wanted: &[u8]) -> Option<()> {
    if !bytes[*at..].starts_with(wanted) {
        return None;
    }
    *at += wanted.len();
    Some(())
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    space(bytes, at);
    match *bytes.get(*at)? {
        b'n' => take(bytes, at, b"null").map(|()| Json::Null),
        b't' => take(bytes, at, b"true").map(|()| Json::Bool),
        b'f' => take(bytes, at, b"false").map(|()| Json::Bool),
        b'"' => string(bytes, at).map(Json::Text),
        b'[' => {
            *at += 1;
            let mut is_first = true;
            loop {
                space(bytes, at);
                if bytes.get(*at) == Some(&b']') {
                    *at += 1;
                    return Some(Json::List);
                }
                if !is_first {
                    take(bytes, at, b",")?;
                }
                value(bytes, at)?;
                is_first = false;
            }
        }
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                space(bytes, at);
                if bytes.get(*at) == Some(&b'}') {
                    *at += 1;
                    return Some(Json::Object(fields));
                }
                if !fields.is_empty() {
                    take(bytes, at, b",")?;
                    space(bytes, at);
                }
                let key = string(bytes, at)?;
                space(bytes, at);
                take(bytes, at, b":")?;
                fields.push((key, value(bytes, at)?));
            }
        }
        _ => {
            let from = *at;
            while bytes.get(*at).is_some_and(|byte| b"+-.eE0123456789".contains(byte)) {
                *at += 1;
            }
            std::str::from_utf8(&bytes[from..*at]).ok()?.parse().ok().map(Json::Number)
        }
    }
}

fn string(bytes: &[u8], at: &mut usize) -> Option<String> {
    take(bytes, at, b"\"")?;
    let mut text = Vec::new();
    loop {
        let byte = *bytes.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(text).ok(),
            b'\\' => {
                let escaped = *bytes.get(*at)?;
                *at += 1;
                match escaped {
                    b'n' => text.push(b'\n'),
                    b't' => text.push(b'\t'),
                    b'r' => text.push(b'\r'),
                    b'u' => {
                        let hex = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        let code = char::from_u32(u32::from_str_radix(hex, 16).ok()?)?;
                        text.extend(code.to_string().bytes());
                    }
                    other => text.push(other),
                }
            }
            other => text.push(other),
        }
    }
}
