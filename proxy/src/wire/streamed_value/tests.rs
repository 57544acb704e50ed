use super::*;

#[test]
fn returns_each_byte_once_and_discards_bytes_after_skip() {
    let value = StreamedValue::new(100_000);
    assert_eq!((value.next(), value.is_unsent()), (NextChunk::Wait, true));
    value.push(&[1; MAX_BUFFERED_BYTES]);
    assert_eq!((value.available(), value.is_unsent()), (0, true));
    assert_eq!(value.next(), NextChunk::Bytes(vec![1; MAX_BUFFERED_BYTES]));
    assert_eq!((value.available(), value.is_unsent()), (MAX_BUFFERED_BYTES, false));
    value.push(&[2; 100_000 - MAX_BUFFERED_BYTES]);
    value.finish();
    assert!(matches!(value.next(), NextChunk::Bytes(_)));
    assert_eq!(value.next(), NextChunk::End);
    let skipped = StreamedValue::new(100_000);
    skipped.push(&[1; 10]);
    skipped.skip();
    skipped.push(&[1; 10]);
    assert_eq!(
        (skipped.next(), skipped.available(), skipped.is_unsent()),
        (NextChunk::Aborted, usize::MAX, false)
    );
}
