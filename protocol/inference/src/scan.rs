//! Reads a message in place: every field's wire format is checked against the schema, nothing is copied.
//!
//! A gateway passes tensors on as they came; decoding and encoding them again would cost more than all its
//! decisions. What it needs is the function's name, the id and the parameters. Still nothing malformed may reach
//! a worker, so the whole message is walked. Source: Protocol Buffers, "Encoding".

use std::fmt;

/// Why a message is not what it should be.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Malformed {
    /// Byte offset in the message.
    pub offset: usize,
    /// What is wrong there.
    pub reason: &'static str,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at byte {}", self.reason, self.offset)
    }
}
impl std::error::Error for Malformed {}

/// The value of a parameter.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Value<'a> {
    /// `bool_param`
    Bool(bool),
    /// `int64_param`
    Int(i64),
    /// `uint64_param`
    Uint(u64),
    /// `double_param`
    Double(f64),
    /// `string_param`
    Str(&'a str),
}

impl Value<'_> {
    /// The value as a whole number, if it is one or spells one.
    pub fn as_int(&self) -> Option<i64> {
        match *self {
            Value::Int(i) => Some(i),
            Value::Uint(u) => i64::try_from(u).ok(),
            Value::Str(s) => s.trim().parse().ok(),
            Value::Bool(_) | Value::Double(_) => None,
        }
    }
    /// The value as a truth value, if it is one or spells one.
    pub fn as_bool(&self) -> Option<bool> {
        match *self {
            Value::Bool(b) => Some(b),
            Value::Str(s) => s.trim().parse().ok(),
            _ => None,
        }
    }
    /// The value as text, if it is text.
    pub fn as_str(&self) -> Option<&str> {
        match self {
            Value::Str(s) => Some(s),
            _ => None,
        }
    }
}

/// What is read of a `ModelInferRequest`.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Request<'a> {
    /// Field 1.
    pub model: &'a str,
    /// Field 2.
    pub version: &'a str,
    /// Field 3.
    pub id: &'a str,
    /// Field 4, in the order sent; a later entry of the same name counts.
    pub parameters: Vec<(&'a str, Value<'a>)>,
    /// How many input tensors there are.
    pub inputs: usize,
}

/// What is read of a `ModelStreamInferResponse`.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Piece<'a> {
    /// Field 1.
    pub error: &'a str,
    /// Field 3 of `infer_response`.
    pub id: &'a str,
    /// Whether `infer_response` is there.
    pub response: bool,
    /// Whether the parameter `triton_final_response` is set and true.
    pub last: bool,
}

fn find<'a, 'b>(list: &'b [(&'a str, Value<'a>)], name: &str) -> Option<&'b Value<'a>> {
    list.iter().rev().find(|(n, _)| *n == name).map(|(_, v)| v)
}

impl<'a> Request<'a> {
    /// Reads `bytes`; every field is checked.
    pub fn read(bytes: &'a [u8]) -> Result<Request<'a>, Malformed> {
        let mut request = Request::default();
        let mut fields = Fields::new(bytes, 0);
        while let Some((number, field)) = fields.next()? {
            match number {
                1 => request.model = field.text()?,
                2 => request.version = field.text()?,
                3 => request.id = field.text()?,
                4 => request.parameters.push(entry(field)?),
                5 => {
                    check(field.message()?, INPUT)?;
                    request.inputs += 1;
                }
                6 => check(field.message()?, OUTPUT)?,
                7 => drop(field.bytes()?),
                _ => {}
            }
        }
        Ok(request)
    }

    /// A parameter by name.
    pub fn parameter(&self, name: &str) -> Option<&Value<'a>> {
        find(&self.parameters, name)
    }
}

impl<'a> Piece<'a> {
    /// Reads `bytes`: what a worker sends as one piece of an answer.
    pub fn read(bytes: &'a [u8]) -> Result<Piece<'a>, Malformed> {
        let mut piece = Piece::default();
        let mut fields = Fields::new(bytes, 0);
        while let Some((number, field)) = fields.next()? {
            match number {
                1 => piece.error = field.text()?,
                2 => {
                    piece.response = true;
                    let mut inner = field.message()?;
                    while let Some((number, field)) = inner.next()? {
                        match number {
                            1 | 2 => drop(field.text()?),
                            3 => piece.id = field.text()?,
                            4 => {
                                if let (crate::names::FINAL, v) = entry(field)? {
                                    piece.last = v == Value::Bool(true);
                                }
                            }
                            5 => check(field.message()?, INPUT)?,
                            6 => drop(field.bytes()?),
                            _ => {}
                        }
                    }
                }
                _ => {}
            }
        }
        Ok(piece)
    }
}

/// Checks a whole `ModelInferResponse` and gives its id.
pub fn response_id(bytes: &[u8]) -> Result<&str, Malformed> {
    let mut id = "";
    let mut fields = Fields::new(bytes, 0);
    while let Some((number, field)) = fields.next()? {
        match number {
            1 | 2 => drop(field.text()?),
            3 => id = field.text()?,
            4 => drop(entry(field)?),
            5 => check(field.message()?, INPUT)?,
            6 => drop(field.bytes()?),
            _ => {}
        }
    }
    Ok(id)
}

/// One entry of `map<string, InferParameter>`.
fn entry(field: Field<'_>) -> Result<(&str, Value<'_>), Malformed> {
    let (mut key, mut value) = ("", Value::Str(""));
    let mut fields = field.message()?;
    while let Some((number, field)) = fields.next()? {
        match number {
            1 => key = field.text()?,
            2 => {
                let mut inner = field.message()?;
                while let Some((number, field)) = inner.next()? {
                    match number {
                        1 => value = Value::Bool(field.varint()? != 0),
                        2 => value = Value::Int(field.varint()? as i64),
                        3 => value = Value::Str(field.text()?),
                        4 => value = Value::Double(f64::from_bits(field.fixed64()?)),
                        5 => value = Value::Uint(field.varint()?),
                        _ => {}
                    }
                }
            }
            _ => {}
        }
    }
    Ok((key, value))
}

/// What a field of a message that is only checked must hold.
#[derive(Clone, Copy)]
enum Kind {
    Text,
    Bytes,
    /// Repeated varints, packed or not.
    Varints,
    /// Repeated 4-byte values, packed or not.
    Fours,
    /// Repeated 8-byte values, packed or not.
    Eights,
    Entry,
    Message(Schema),
}

type Schema = &'static [(u32, Kind)];

/// `InferInputTensor`, and `InferOutputTensor`, which has the same fields.
const INPUT: Schema = &[
    (1, Kind::Text),
    (2, Kind::Text),
    (3, Kind::Varints),
    (4, Kind::Entry),
    (5, Kind::Message(CONTENTS)),
];
const OUTPUT: Schema = &[(1, Kind::Text), (2, Kind::Entry)];
const CONTENTS: Schema = &[
    (1, Kind::Varints),
    (2, Kind::Varints),
    (3, Kind::Varints),
    (4, Kind::Varints),
    (5, Kind::Varints),
    (6, Kind::Fours),
    (7, Kind::Eights),
    (8, Kind::Bytes),
];

fn check(mut fields: Fields<'_>, schema: Schema) -> Result<(), Malformed> {
    while let Some((number, field)) = fields.next()? {
        let Some((_, kind)) = schema.iter().find(|(n, _)| *n == number) else {
            continue;
        };
        match kind {
            Kind::Text => drop(field.text()?),
            Kind::Bytes => drop(field.bytes()?),
            Kind::Entry => drop(entry(field)?),
            Kind::Message(inner) => check(field.message()?, inner)?,
            Kind::Varints => field.varints()?,
            Kind::Fours => field.fixed(4, Wire::Four)?,
            Kind::Eights => field.fixed(8, Wire::Eight)?,
        }
    }
    Ok(())
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Wire {
    Varint,
    Eight,
    Length,
    Four,
    Group,
}

/// One field as it stands in the message.
struct Field<'a> {
    wire: Wire,
    value: u64,
    bytes: &'a [u8],
    at: usize,
}

impl<'a> Field<'a> {
    fn want(&self, wire: Wire) -> Result<(), Malformed> {
        if self.wire == wire {
            return Ok(());
        }
        Err(Malformed {
            offset: self.at,
            reason: "a field of another wire type than the schema's",
        })
    }
    fn varint(&self) -> Result<u64, Malformed> {
        self.want(Wire::Varint).map(|()| self.value)
    }
    fn fixed64(&self) -> Result<u64, Malformed> {
        self.want(Wire::Eight).map(|()| self.value)
    }
    fn bytes(&self) -> Result<&'a [u8], Malformed> {
        self.want(Wire::Length).map(|()| self.bytes)
    }
    fn text(&self) -> Result<&'a str, Malformed> {
        let why = "a string that is not UTF-8";
        std::str::from_utf8(self.bytes()?).map_err(|e| Malformed {
            offset: self.at + e.valid_up_to(),
            reason: why,
        })
    }
    fn message(&self) -> Result<Fields<'a>, Malformed> {
        Ok(Fields::new(self.bytes()?, self.at))
    }
    fn varints(&self) -> Result<(), Malformed> {
        if self.wire == Wire::Varint {
            return Ok(());
        }
        let mut rest = Fields::new(self.bytes()?, self.at);
        while !rest.done() {
            rest.varint()?;
        }
        Ok(())
    }
    fn fixed(&self, size: usize, single: Wire) -> Result<(), Malformed> {
        if self.wire == single {
            return Ok(());
        }
        if self.bytes()?.len() % size == 0 {
            return Ok(());
        }
        Err(Malformed {
            offset: self.at,
            reason: "packed values cut short",
        })
    }
}

/// The fields of one message.
struct Fields<'a> {
    bytes: &'a [u8],
    at: usize,
    base: usize,
}

/// Groups inside groups that are followed; the schema has none, so more is abuse.
const GROUP_DEPTH: usize = 16;

impl<'a> Fields<'a> {
    fn new(bytes: &'a [u8], base: usize) -> Fields<'a> {
        Fields { bytes, at: 0, base }
    }
    fn done(&self) -> bool {
        self.at >= self.bytes.len()
    }
    fn bad<T>(&self, why: &'static str) -> Result<T, Malformed> {
        Err(Malformed {
            offset: self.base + self.at,
            reason: why,
        })
    }
    fn varint(&mut self) -> Result<u64, Malformed> {
        let mut value = 0u64;
        for shift in 0..10 {
            let Some(byte) = self.bytes.get(self.at) else {
                return self.bad("a varint cut short");
            };
            self.at += 1;
            if shift == 9 && *byte > 1 {
                return self.bad("a varint of more than 64 bits");
            }
            value |= u64::from(byte & 0x7f) << (7 * shift);
            if byte & 0x80 == 0 {
                return Ok(value);
            }
        }
        self.bad("a varint of more than ten bytes")
    }
    fn take(&mut self, n: usize) -> Result<&'a [u8], Malformed> {
        let end = self.at.checked_add(n).filter(|e| *e <= self.bytes.len());
        let Some(end) = end else {
            return self.bad("a field longer than its message");
        };
        let taken = &self.bytes[self.at..end];
        self.at = end;
        Ok(taken)
    }
    fn next(&mut self) -> Result<Option<(u32, Field<'a>)>, Malformed> {
        self.field(0)
    }
    fn field(&mut self, depth: usize) -> Result<Option<(u32, Field<'a>)>, Malformed> {
        if self.done() {
            return Ok(None);
        }
        let tag = self.varint()?;
        let number = match u32::try_from(tag >> 3) {
            Ok(n) if n > 0 && n < 1 << 29 => n,
            _ => return self.bad("a field number out of range"),
        };
        let mut field = Field {
            wire: Wire::Varint,
            value: 0,
            bytes: &[],
            at: self.base + self.at,
        };
        match tag & 7 {
            0 => field.value = self.varint()?,
            1 => {
                let b = self.take(8)?;
                field.wire = Wire::Eight;
                field.value = b.iter().rev().fold(0, |v, b| v << 8 | u64::from(*b));
            }
            2 => {
                let length = self.varint()?;
                let length = usize::try_from(length).unwrap_or(usize::MAX);
                field.at = self.base + self.at;
                field.bytes = self.take(length)?;
                field.wire = Wire::Length;
            }
            3 if depth < GROUP_DEPTH => {
                field.wire = Wire::Group;
                loop {
                    match self.field(depth + 1)? {
                        None => return self.bad("a group without an end"),
                        Some((n, f)) if f.wire == Wire::Group && f.value == 1 => {
                            if n == number {
                                break;
                            }
                            return self.bad("a group ended by another");
                        }
                        Some(_) => {}
                    }
                }
            }
            4 if depth > 0 => {
                field.wire = Wire::Group;
                field.value = 1;
            }
            5 => {
                let b = self.take(4)?;
                field.wire = Wire::Four;
                field.value = b.iter().rev().fold(0, |v, b| v << 8 | u64::from(*b));
            }
            _ => return self.bad("a wire type that does not exist here"),
        }
        Ok(Some((number, field)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::inference as pb;
    use prost::Message;
    use std::collections::BTreeMap;

    fn parameter(choice: pb::infer_parameter::ParameterChoice) -> pb::InferParameter {
        pb::InferParameter {
            parameter_choice: Some(choice),
        }
    }

    fn request() -> pb::ModelInferRequest {
        use pb::infer_parameter::ParameterChoice as C;
        pb::ModelInferRequest {
            model_name: "overlay".into(),
            model_version: "3".into(),
            id: "a-1".into(),
            parameters: BTreeMap::from([
                ("timeout".into(), parameter(C::Int64Param(750_000))),
                ("pieces".into(), parameter(C::StringParam("4".into()))),
                ("half".into(), parameter(C::DoubleParam(0.5))),
                ("many".into(), parameter(C::Uint64Param(u64::MAX))),
                ("yes".into(), parameter(C::BoolParam(true))),
            ]),
            inputs: vec![pb::model_infer_request::InferInputTensor {
                name: "x".into(),
                datatype: "FP32".into(),
                shape: vec![1, 2],
                parameters: BTreeMap::new(),
                contents: Some(pb::InferTensorContents {
                    fp32_contents: vec![1.0, 2.0],
                    bytes_contents: vec![bytes::Bytes::from_static(b"\xff")],
                    ..Default::default()
                }),
            }],
            outputs: vec![],
            raw_input_contents: vec![bytes::Bytes::from_static(b"\xff\xfe")],
        }
    }

    #[test]
    fn what_the_library_encodes_is_read_back() {
        let bytes = request().encode_to_vec();
        let r = Request::read(&bytes).unwrap();
        assert_eq!(
            (r.model, r.version, r.id, r.inputs),
            ("overlay", "3", "a-1", 1)
        );
        assert_eq!(r.parameter("timeout").unwrap().as_int(), Some(750_000));
        assert_eq!(r.parameter("pieces").unwrap().as_int(), Some(4));
        assert_eq!(r.parameter("half"), Some(&Value::Double(0.5)));
        assert_eq!(r.parameter("many"), Some(&Value::Uint(u64::MAX)));
        assert_eq!(r.parameter("yes").unwrap().as_bool(), Some(true));
        assert_eq!(r.parameter("no"), None);
    }

    #[test]
    fn every_cut_of_a_message_agrees_with_the_library() {
        let bytes = request().encode_to_vec();
        for end in 0..bytes.len() {
            let ours = Request::read(&bytes[..end]).is_ok();
            let theirs = pb::ModelInferRequest::decode(&bytes[..end]).is_ok();
            assert_eq!(ours, theirs, "cut at {end}");
        }
    }

    #[test]
    fn flipped_bytes_are_never_accepted_where_the_library_refuses() {
        let whole = request().encode_to_vec();
        for at in 0..whole.len() {
            for bit in 0..8 {
                let mut bytes = whole.clone();
                bytes[at] ^= 1 << bit;
                if let Err(e) = pb::ModelInferRequest::decode(&bytes[..]) {
                    assert!(Request::read(&bytes).is_err(), "byte {at} bit {bit}: {e}");
                }
            }
        }
    }

    #[test]
    fn groups_are_skipped_to_a_depth_and_no_further() {
        let nested = |n: usize| [vec![0x7b; n], vec![0x7c; n]].concat();
        assert!(Request::read(&nested(3)).is_ok());
        assert!(Request::read(&nested(1000)).is_err());
        assert!(Request::read(&[0x7c]).is_err(), "an end without a start");
    }
}
