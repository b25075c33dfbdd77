//! Standard base64 with padding.

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk
            .iter()
            .fold(0u32, |group, byte| group << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for place in 0..4 {
            let index = (group >> (18 - 6 * place)) as usize & 63;
            text.push(if place <= chunk.len() {
                ALPHABET[index] as char
            } else {
                '='
            });
        }
    }
    text
}

pub fn decode(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut group, mut bits) = (0u32, 0);
    for letter in text.bytes() {
        let Some(value) = ALPHABET.iter().position(|l| *l == letter) else {
            continue;
        };
        group = group << 6 | value as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((group >> bits) as u8);
        }
    }
    bytes
}
