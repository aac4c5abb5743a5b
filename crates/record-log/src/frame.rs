//! The encoding of a batch of records as a frame: a header with a magic number, the batch number, the length
//! of the records and a CRC-32 of all other bytes of the frame; then each record, preceded by its length. All
//! integers are little-endian.

/// The bytes at the start of every frame, by which a frame is recognized.
const MAGIC: [u8; 4] = *b"mwrl";

/// The length of the header, in bytes. The last four bytes are the checksum.
const HEADER_LEN: usize = 20;

/// The length of the length field before each record, in bytes.
const RECORD_HEADER_LEN: usize = 4;

pub(crate) struct Frame {
    pub(crate) batch: u64,
    pub(crate) records: Vec<Vec<u8>>,
    /// The length of the encoded frame, in bytes.
    pub(crate) length: usize,
}

/// Encodes a batch. `None` if its records and their length fields take 4 GiB or more.
pub(crate) fn encode(batch: u64, records: &[&[u8]]) -> Option<Vec<u8>> {
    let length: usize = records.iter().map(|record| RECORD_HEADER_LEN + record.len()).sum();
    let mut bytes = Vec::with_capacity(HEADER_LEN + length);
    bytes.extend(MAGIC);
    bytes.extend(batch.to_le_bytes());
    bytes.extend(u32::try_from(length).ok()?.to_le_bytes());
    bytes.extend([0; 4]);
    for record in records {
        bytes.extend(u32::try_from(record.len()).ok()?.to_le_bytes());
        bytes.extend(*record);
    }
    let stored_checksum = checksum(&bytes[..HEADER_LEN - 4], &bytes[HEADER_LEN..]);
    bytes[HEADER_LEN - 4..HEADER_LEN].copy_from_slice(&stored_checksum.to_le_bytes());
    Some(bytes)
}

fn checksum(header: &[u8], records: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(header);
    hasher.update(records);
    hasher.finalize()
}

/// Decodes the frame at the start of `bytes`. `None` if it is incomplete or damaged.
pub(crate) fn decode(bytes: &[u8]) -> Option<Frame> {
    if bytes.get(..MAGIC.len())? != MAGIC {
        return None;
    }
    let batch = u64::from_le_bytes(bytes.get(4..12)?.try_into().ok()?);
    let length = decode_length(bytes.get(12..16)?)?;
    let stored_checksum = u32::from_le_bytes(bytes.get(16..HEADER_LEN)?.try_into().ok()?);
    let content = bytes.get(HEADER_LEN..HEADER_LEN.checked_add(length)?)?;
    if checksum(&bytes[..HEADER_LEN - 4], content) != stored_checksum {
        return None;
    }
    Some(Frame { batch, records: decode_records(content)?, length: HEADER_LEN + length })
}

fn decode_records(mut content: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut records = Vec::new();
    while !content.is_empty() {
        let length = decode_length(content.get(..RECORD_HEADER_LEN)?)?;
        let end = RECORD_HEADER_LEN.checked_add(length)?;
        records.push(content.get(RECORD_HEADER_LEN..end)?.to_vec());
        content = &content[end..];
    }
    Some(records)
}

fn decode_length(bytes: &[u8]) -> Option<usize> {
    usize::try_from(u32::from_le_bytes(bytes.try_into().ok()?)).ok()
}

/// Searches `bytes` at every offset for intact frames; returns the batch number of the first one that is at
/// least `batch`.
pub(crate) fn find_from(bytes: &[u8], batch: u64) -> Option<u64> {
    let starts =
        (0..bytes.len().saturating_sub(HEADER_LEN)).filter(|start| bytes[*start..].starts_with(&MAGIC));
    starts.filter_map(|start| decode(&bytes[start..])).map(|frame| frame.batch).find(|found| *found >= batch)
}
