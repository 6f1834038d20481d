//! Splits an encoded message into fields (Protocol Buffers, "Encoding").

use super::Malformed;

/// The wire types of protobuf.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum WireType {
    Varint,
    Fixed64,
    LengthDelimited,
    Fixed32,
    Group,
    EndGroup,
}

/// One encoded field.
pub(super) struct Field<'a> {
    pub number: u32,
    wire_type: WireType,
    /// The value of a varint, fixed32 or fixed64 field.
    value: u64,
    /// The content of a length-delimited field.
    bytes: &'a [u8],
    /// The offset of the value in the outermost message.
    offset: usize,
}

impl<'a> Field<'a> {
    fn malformed<T>(&self, reason: &'static str) -> Result<T, Malformed> {
        Err(Malformed {
            offset: self.offset,
            reason,
        })
    }

    fn expect(&self, wire_type: WireType) -> Result<(), Malformed> {
        if self.wire_type == wire_type {
            return Ok(());
        }
        self.malformed("a field of another wire type than the schema's")
    }

    pub fn varint(&self) -> Result<u64, Malformed> {
        self.expect(WireType::Varint).map(|()| self.value)
    }

    pub fn fixed64(&self) -> Result<u64, Malformed> {
        self.expect(WireType::Fixed64).map(|()| self.value)
    }

    pub fn bytes(&self) -> Result<&'a [u8], Malformed> {
        self.expect(WireType::LengthDelimited).map(|()| self.bytes)
    }

    pub fn text(&self) -> Result<&'a str, Malformed> {
        std::str::from_utf8(self.bytes()?).map_err(|error| Malformed {
            offset: self.offset + error.valid_up_to(),
            reason: "a string that is not UTF-8",
        })
    }

    pub fn message(&self) -> Result<Fields<'a>, Malformed> {
        Ok(Fields::new(self.bytes()?, self.offset))
    }

    /// Validates repeated varints, packed or not.
    pub fn check_varints(&self) -> Result<(), Malformed> {
        if self.wire_type == WireType::Varint {
            return Ok(());
        }
        let mut packed = Fields::new(self.bytes()?, self.offset);
        while !packed.is_at_end() {
            packed.varint()?;
        }
        Ok(())
    }

    /// Validates repeated 4-byte values, packed or not.
    pub fn check_fixed32(&self) -> Result<(), Malformed> {
        self.check_fixed(WireType::Fixed32, 4)
    }

    /// Validates repeated 8-byte values, packed or not.
    pub fn check_fixed64(&self) -> Result<(), Malformed> {
        self.check_fixed(WireType::Fixed64, 8)
    }

    fn check_fixed(&self, unpacked: WireType, size: usize) -> Result<(), Malformed> {
        if self.wire_type == unpacked || self.bytes()?.len() % size == 0 {
            return Ok(());
        }
        self.malformed("packed values cut short")
    }
}

/// Reads the fields of one message in order.
pub(super) struct Fields<'a> {
    bytes: &'a [u8],
    position: usize,
    /// The offset of `bytes` in the outermost message.
    base: usize,
}

/// The depth to which nested groups are skipped; the schema has no groups.
const MAX_GROUP_DEPTH: usize = 16;

impl<'a> Fields<'a> {
    pub fn new(bytes: &'a [u8], base: usize) -> Fields<'a> {
        Fields {
            bytes,
            position: 0,
            base,
        }
    }

    /// The next field; `None` at the end of the message.
    pub fn next(&mut self) -> Result<Option<Field<'a>>, Malformed> {
        self.next_at_depth(0)
    }

    fn is_at_end(&self) -> bool {
        self.position >= self.bytes.len()
    }

    fn offset(&self) -> usize {
        self.base + self.position
    }

    fn malformed<T>(&self, reason: &'static str) -> Result<T, Malformed> {
        Err(Malformed {
            offset: self.offset(),
            reason,
        })
    }

    fn varint(&mut self) -> Result<u64, Malformed> {
        let mut value = 0u64;
        for index in 0..10 {
            let Some(byte) = self.bytes.get(self.position) else {
                return self.malformed("a varint cut short");
            };
            self.position += 1;
            if index == 9 && *byte > 1 {
                return self.malformed("a varint of more than 64 bits");
            }
            value |= u64::from(byte & 0x7f) << (7 * index);
            if byte & 0x80 == 0 {
                return Ok(value);
            }
        }
        self.malformed("a varint of more than ten bytes")
    }

    fn take(&mut self, length: usize) -> Result<&'a [u8], Malformed> {
        let end = self.position.checked_add(length);
        let Some(end) = end.filter(|end| *end <= self.bytes.len()) else {
            return self.malformed("a field longer than its message");
        };
        let taken = &self.bytes[self.position..end];
        self.position = end;
        Ok(taken)
    }

    /// Reads a little-endian value of `size` bytes.
    fn fixed(&mut self, size: usize) -> Result<u64, Malformed> {
        let bytes = self.take(size)?;
        let value = bytes.iter().rev();
        Ok(value.fold(0, |value, byte| value << 8 | u64::from(*byte)))
    }

    fn next_at_depth(&mut self, depth: usize) -> Result<Option<Field<'a>>, Malformed> {
        if self.is_at_end() {
            return Ok(None);
        }
        let tag = self.varint()?;
        let number = match u32::try_from(tag >> 3) {
            Ok(number) if number > 0 && number < 1 << 29 => number,
            _ => return self.malformed("a field number out of range"),
        };
        let mut field = Field {
            number,
            wire_type: WireType::Varint,
            value: 0,
            bytes: &[],
            offset: self.offset(),
        };
        match tag & 7 {
            0 => field.value = self.varint()?,
            1 => {
                field.wire_type = WireType::Fixed64;
                field.value = self.fixed(8)?;
            }
            2 => {
                let length = self.varint()?;
                field.wire_type = WireType::LengthDelimited;
                field.offset = self.offset();
                field.bytes = self.take(usize::try_from(length).unwrap_or(usize::MAX))?;
            }
            3 if depth < MAX_GROUP_DEPTH => {
                field.wire_type = WireType::Group;
                self.skip_group(number, depth)?;
            }
            4 if depth > 0 => field.wire_type = WireType::EndGroup,
            5 => {
                field.wire_type = WireType::Fixed32;
                field.value = self.fixed(4)?;
            }
            _ => return self.malformed("a wire type that does not exist here"),
        }
        Ok(Some(field))
    }

    /// Skips the rest of the group with this field number, including its end.
    fn skip_group(&mut self, number: u32, depth: usize) -> Result<(), Malformed> {
        loop {
            match self.next_at_depth(depth + 1)? {
                None => return self.malformed("a group without an end"),
                Some(field) if field.wire_type == WireType::EndGroup => {
                    if field.number == number {
                        return Ok(());
                    }
                    return self.malformed("a group ended by another");
                }
                Some(_) => {}
            }
        }
    }
}
