//! Encodes and decodes field values, and checks the length of texts and the depth of lists.

use crate::{pb, DecodeError, MAX_TEXT_BYTES};
use tansy_agreement::compatibility::{Fields, Value};

/// The greatest nesting depth of lists.
const MAX_LIST_DEPTH: usize = 8;

/// Checks the length of a text. `part` names the text in the error.
pub(crate) fn bounded_text(text: String, part: &'static str) -> Result<String, DecodeError> {
    if text.len() > MAX_TEXT_BYTES {
        return Err(DecodeError::MissingPart(part));
    }
    Ok(text)
}

pub(crate) fn encode_value(field: &Value) -> pb::Value {
    use pb::value::Kind;
    let kind = match field {
        Value::Flag(flag) => Kind::Flag(*flag),
        Value::Int(int) => Kind::Int(*int),
        Value::Span(span) => Kind::Span(*span),
        Value::Bytes(bytes) => Kind::Bytes(*bytes),
        Value::Number(number) => Kind::Number(*number),
        Value::Text(text) => Kind::Text(text.clone()),
        Value::List(items) => Kind::List(pb::Values {
            values: items.iter().map(encode_value).collect(),
        }),
    };
    pb::Value { kind: Some(kind) }
}

fn decode_value(value: pb::Value, depth: usize) -> Result<Value, DecodeError> {
    use pb::value::Kind;
    Ok(match value.kind.ok_or(DecodeError::MissingPart("value"))? {
        Kind::Flag(flag) => Value::Flag(flag),
        Kind::Int(int) => Value::Int(int),
        Kind::Span(span) => Value::Span(span),
        Kind::Bytes(bytes) => Value::Bytes(bytes),
        Kind::Number(number) if number.is_finite() => Value::Number(number),
        Kind::Number(_) => return Err(DecodeError::MissingPart("number")),
        Kind::Text(text) => Value::Text(text),
        Kind::List(_) if depth == 0 => {
            return Err(DecodeError::MissingPart("value: lists within lists"))
        }
        Kind::List(list) => {
            let items = list.values.into_iter();
            let items = items.map(|item| decode_value(item, depth - 1));
            Value::List(items.collect::<Result<_, _>>()?)
        }
    })
}

/// Encodes fields with their paths or names as keys.
pub(crate) fn encode_fields<M: FromIterator<(String, pb::Value)>>(fields: &Fields) -> M {
    let field = |(path, field): (&String, &Value)| (path.clone(), encode_value(field));
    fields.iter().map(field).collect()
}

pub(crate) fn decode_fields(
    fields: impl IntoIterator<Item = (String, pb::Value)>,
) -> Result<Fields, DecodeError> {
    let field = |(path, value)| {
        Ok((
            bounded_text(path, "field's path")?,
            decode_value(value, MAX_LIST_DEPTH)?,
        ))
    };
    fields.into_iter().map(field).collect()
}
