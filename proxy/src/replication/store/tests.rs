//! The store on disk: compatibility with format 1, corrupted files and recovery.

use super::*;
use notchdoor_negative_cache::{NegativeCacheShard, Operation};

fn op(n: u64) -> Operation {
    Operation::Insert { key: format!("key-{n}").into_bytes(), token: 0, at: n }
}

/// Flips a bit at positions all over the file: each time the store is set aside, refused, or loaded unchanged.
#[test]
fn a_corrupted_store_is_set_aside_or_loaded_unchanged() {
    let folder = std::env::temp_dir().join(format!("notchdoor-store-{}", std::process::id()));
    let written = {
        let store = open::<NegativeCacheShard>(&folder).unwrap().store;
        let writes: Vec<_> =
            (1..=40).map(|seq| StoreWrite::Append { shard: 3, seq, operation: op(seq) }).collect();
        store.commit(&writes).unwrap();
        store.load().unwrap()
    };
    let file = folder.join("copies.redb");
    let OpenedStore { node, start, shards, .. } = open::<NegativeCacheShard>(&folder).unwrap();
    assert_eq!((start, &shards), (2, &written));
    let original = std::fs::read(&file).unwrap();
    let text = original.windows(5).position(|w| w == b"key-7").expect("the file contains the key");
    let mut damaged_files = 0;
    for at in [text, 0, 9, 70, 200].into_iter().chain((0..original.len()).step_by(original.len() / 40)) {
        let mut corrupted = original.clone();
        corrupted[at] ^= 0x10;
        std::fs::write(&file, &corrupted).unwrap();
        match open::<NegativeCacheShard>(&folder) {
            Ok(OpenedStore { node: other, shards, .. }) if other != node => {
                assert!(shards.is_empty(), "byte {at}: the new node has shards {shards:?}");
                assert_eq!(std::fs::read(folder.join("copies.damaged")).unwrap().len(), original.len());
                damaged_files += 1;
            }
            Ok(OpenedStore { shards, .. }) => assert_eq!(shards, written, "byte {at}"),
            Err(error) => assert!(error.starts_with("copies.data: "), "byte {at}: {error}"),
        }
        assert!(at != text || damaged_files == 1, "a corrupted key was not detected");
    }
    assert!(damaged_files > 3, "only {damaged_files} corrupted files were set aside");
    std::fs::write(&file, &original).unwrap();
    drop(open::<NegativeCacheShard>(&folder).unwrap());
    std::fs::remove_dir_all(&folder).unwrap();
}

/// Rows of the tables in format 1, in hex. Every version that supports this format must read these bytes, and write them
/// for the same contents.
struct RawStore {
    meta: Vec<(&'static str, u64)>,
    whole: Vec<(u32, &'static str)>,
    ops: Vec<((u32, u64), &'static str)>,
}

fn raw_store() -> RawStore {
    RawStore {
        meta: vec![("format", 1), ("number", 0xabcd_ef01_2345_6789), ("start", 3)],
        whole: vec![(3, "0302000001077772697474656eb0ba97ffbc3100"), (9, "ac020000000000")],
        ops: vec![
            ((3, 4), "000567686f737402fbd095ffbc31"),
            ((3, 5), "02077772697474656eb0ba97ffbc31"),
            ((3, 6), "010567686f7374"),
            ((7, 1), "00056b65792d310001"),
        ],
    }
}

/// The writes that produce [`raw_store`].
fn writes_of_raw_store() -> Vec<StoreWrite<NegativeCacheShard>> {
    let invalidate = |key: &[u8]| Operation::Invalidate { key: key.to_vec() };
    let bar = Operation::Tombstone { key: b"written".to_vec(), until: 1_700_000_030_000 };
    let ghost = Operation::Insert { key: b"ghost".to_vec(), token: 2, at: 1_700_000_000_123 };
    vec![
        StoreWrite::Append { shard: 9, seq: 1, operation: invalidate(b"replaced") },
        StoreWrite::Append { shard: 8, seq: 1, operation: invalidate(b"forgotten") },
        StoreWrite::Snapshot { shard: 3, seq: 3, content: content_of(&[invalidate(b"a"), bar.clone()]) },
        StoreWrite::Snapshot { shard: 9, seq: 300, content: content_of(&[]) },
        StoreWrite::Append { shard: 3, seq: 4, operation: ghost },
        StoreWrite::Append { shard: 3, seq: 5, operation: bar },
        StoreWrite::Append { shard: 3, seq: 6, operation: invalidate(b"ghost") },
        StoreWrite::Append { shard: 7, seq: 1, operation: op(1) },
        StoreWrite::Remove { shard: 8 },
    ]
}

fn content_of(ops: &[Operation]) -> NegativeCacheShard {
    let mut content = NegativeCacheShard::default();
    for op in ops {
        content.apply(op);
    }
    content
}

/// The shards that [`raw_store`] contains.
fn shards_of_raw_store() -> Vec<ShardState<NegativeCacheShard>> {
    let writes = writes_of_raw_store();
    let ops_of = |shard_number: u32| -> Vec<Operation> {
        let op = |w: &StoreWrite<NegativeCacheShard>| match w {
            StoreWrite::Append { shard, operation, .. } if *shard == shard_number => Some(operation.clone()),
            _ => None,
        };
        writes.iter().filter_map(op).collect()
    };
    let StoreWrite::Snapshot { content: mut third, .. } = writes[2].clone() else {
        panic!("the third write is a snapshot")
    };
    for op in ops_of(3) {
        third.apply(&op);
    }
    let of = |shard, seq, content| ShardState { shard, seq, content };
    vec![of(3, 6, third), of(7, 1, content_of(&ops_of(7))), of(9, 300, NegativeCacheShard::default())]
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    let byte = |at| u8::from_str_radix(&text[at..at + 2], 16).unwrap();
    (0..text.len()).step_by(2).map(byte).collect()
}

fn store_folder(name: &str) -> std::path::PathBuf {
    let folder = std::env::temp_dir().join(format!("notchdoor-store-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

#[test]
fn stored_rows_of_format_1_are_read() {
    let folder = store_folder("read");
    let raw = raw_store();
    {
        let db = Database::create(folder.join("copies.redb")).unwrap();
        let txn = db.begin_write().unwrap();
        {
            let mut meta = txn.open_table(TableDefinition::<&str, u64>::new("meta")).unwrap();
            for (key, value) in &raw.meta {
                meta.insert(*key, *value).unwrap();
            }
            let mut whole = txn.open_table(TableDefinition::<u32, &[u8]>::new("whole")).unwrap();
            for (shard, bytes) in &raw.whole {
                whole.insert(*shard, from_hex(bytes).as_slice()).unwrap();
            }
            let mut ops = txn.open_table(TableDefinition::<(u32, u64), &[u8]>::new("ops")).unwrap();
            for (at, bytes) in &raw.ops {
                ops.insert(*at, from_hex(bytes).as_slice()).unwrap();
            }
        }
        txn.commit().unwrap();
    }
    let OpenedStore { node, start, shards, .. } = open::<NegativeCacheShard>(&folder).unwrap();
    assert_eq!((node, start), (0xabcd_ef01_2345_6789, 4));
    assert_eq!(shards, shards_of_raw_store());
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn rows_are_written_in_format_1_byte_for_byte() {
    let folder = store_folder("write");
    let raw = raw_store();
    let OpenedStore { store, node, start, shards } = open::<NegativeCacheShard>(&folder).unwrap();
    assert_eq!((start, shards.len()), (1, 0));
    store.commit(&writes_of_raw_store()).unwrap();
    let txn = store.database.begin_read().unwrap();
    let meta = txn.open_table(TableDefinition::<&str, u64>::new("meta")).unwrap();
    let meta: Vec<(String, u64)> = meta
        .iter()
        .unwrap()
        .map(|row| row.unwrap())
        .map(|(k, v)| (k.value().to_owned(), v.value()))
        .collect();
    let expected_meta =
        [("format", 1), ("number", node), ("start", 1)].map(|(key, value)| (key.to_owned(), value));
    assert_eq!(meta, expected_meta);
    let whole = txn.open_table(TableDefinition::<u32, &[u8]>::new("whole")).unwrap();
    let whole: Vec<(u32, String)> =
        whole.iter().unwrap().map(|row| row.unwrap()).map(|(k, v)| (k.value(), to_hex(v.value()))).collect();
    let expected: Vec<_> = raw.whole.iter().map(|(shard, bytes)| (*shard, (*bytes).to_owned())).collect();
    assert_eq!(whole, expected);
    let ops = txn.open_table(TableDefinition::<(u32, u64), &[u8]>::new("ops")).unwrap();
    let ops: Vec<((u32, u64), String)> =
        ops.iter().unwrap().map(|row| row.unwrap()).map(|(k, v)| (k.value(), to_hex(v.value()))).collect();
    let expected: Vec<_> = raw.ops.iter().map(|(at, bytes)| (*at, (*bytes).to_owned())).collect();
    assert_eq!(ops, expected);
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn recovering_a_failed_store_keeps_the_node_and_its_shards_and_counts_a_start() {
    let folder = store_folder("recovered");
    let OpenedStore { store, node, .. } = open::<NegativeCacheShard>(&folder).unwrap();
    store.commit(&writes_of_raw_store()).unwrap();
    // The store cannot be recovered while it is open.
    assert!(recover::<NegativeCacheShard>(&folder, node).is_err());
    drop(store);
    let another = recover::<NegativeCacheShard>(&folder, node ^ 1);
    assert!(matches!(another, Err(StoreError::OtherNode(number)) if number == node));
    let recovered = recover::<NegativeCacheShard>(&folder, node).unwrap();
    assert_eq!((recovered.node, recovered.start), (node, 2));
    assert_eq!(recovered.shards, shards_of_raw_store());
    // The recovered store accepts writes, and the next start loads old and new ones.
    recovered.store.commit(&[StoreWrite::Append { shard: 7, seq: 2, operation: op(2) }]).unwrap();
    drop(recovered);
    let next = open::<NegativeCacheShard>(&folder).unwrap();
    assert_eq!((next.node, next.start), (node, 3));
    let mut expected = shards_of_raw_store();
    (expected[1].seq, _) = (2, expected[1].content.apply(&op(2)));
    assert_eq!(next.shards, expected);
    let files: Vec<_> = std::fs::read_dir(&folder).unwrap().map(|file| file.unwrap().file_name()).collect();
    assert_eq!(files, [FILE]);
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn an_unfinished_file_is_ignored_and_not_reported_as_damage() {
    let folder = store_folder("unfinished");
    std::fs::write(folder.join(UNFINISHED_FILE), [0; 4096]).unwrap();
    let OpenedStore { store, node, start, shards } = open::<NegativeCacheShard>(&folder).unwrap();
    assert_eq!((start, shards.len()), (1, 0));
    drop(store);
    // The same for an unfinished file of a recovery.
    std::fs::write(folder.join(UNFINISHED_FILE), [0; 4096]).unwrap();
    assert_eq!(open::<NegativeCacheShard>(&folder).unwrap().node, node);
    assert_eq!(recover::<NegativeCacheShard>(&folder, node).unwrap().start, 3);
    assert!(!folder.join(DAMAGED_FILE).exists());
    std::fs::remove_dir_all(&folder).unwrap();
}
