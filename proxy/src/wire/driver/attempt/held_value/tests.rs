use super::*;
use crate::wire::driver::value_store::ValueStore;
use std::rc::Rc;

const VALUE_BYTES: usize = 4 * 1024 * 1024;

fn byte_at(at: usize) -> u8 {
    (at % 251) as u8
}

/// Guards against a value that needs far more memory than is reserved for it, because its server sends it in small pieces.
#[test]
fn value_received_in_small_pieces_takes_at_most_twice_its_length() {
    for piece_bytes in [1, 7, PART_BYTES / 2 + 1, PART_BYTES - 1, PART_BYTES] {
        let store = Rc::new(ValueStore::default());
        let mut value = HeldValue::new(VALUE_BYTES, Reservation::new(&store));
        let bytes: Vec<u8> = (0..VALUE_BYTES).map(byte_at).collect();
        for piece in bytes.chunks(piece_bytes) {
            value.push(piece.to_vec());
        }
        let part_memory = |part: &Vec<u8>| part.capacity() + size_of::<Vec<u8>>();
        let memory: usize = value.parts.iter().map(part_memory).sum();
        assert!(memory <= 2 * VALUE_BYTES, "{memory} bytes for pieces of {piece_bytes}");
        let taken: Vec<u8> = std::iter::from_fn(|| value.take_part()).flatten().collect();
        assert!(taken == bytes, "pieces of {piece_bytes}");
    }
}
