use super::{AppendFile, append_with_retry};
use std::cell::Cell;
use std::io::{self, ErrorKind};
use std::rc::Rc;

/// A file on a disk with limited capacity, or with failing syncs.
#[derive(Default)]
struct Disk {
    bytes: Vec<u8>,
    capacity_bytes: Rc<Cell<usize>>,
    syncs: usize,
    has_failing_sync: bool,
}

impl AppendFile for Disk {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let available_bytes = self.capacity_bytes.get().saturating_sub(self.bytes.len());
        self.bytes.extend_from_slice(&bytes[..available_bytes.min(bytes.len())]);
        if available_bytes < bytes.len() { Err(ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    fn truncate(&mut self, length_bytes: u64) -> io::Result<()> {
        self.bytes.truncate(usize::try_from(length_bytes).expect("a length that fits in usize"));
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        self.syncs += 1;
        if self.has_failing_sync { Err(ErrorKind::Other.into()) } else { Ok(()) }
    }
}

#[test]
fn append_retries_while_disk_is_full_and_leaves_no_torn_record() {
    let capacity_bytes = Rc::new(Cell::new(5));
    let mut disk =
        Disk { bytes: b"old".to_vec(), capacity_bytes: capacity_bytes.clone(), ..Disk::default() };
    let mut pauses = 0;
    let appended = append_with_retry(&mut disk, 3, b"record", || {
        pauses += 1;
        if pauses == 3 {
            capacity_bytes.set(100);
        }
    });
    assert!(appended.is_ok());
    assert_eq!((disk.bytes.as_slice(), disk.syncs, pauses), (b"oldrecord".as_slice(), 1, 3));
}

#[test]
fn failed_sync_is_not_retried() {
    let mut disk =
        Disk { capacity_bytes: Rc::new(Cell::new(100)), has_failing_sync: true, ..Disk::default() };
    assert!(append_with_retry(&mut disk, 0, b"record", || ()).is_err());
    assert_eq!(disk.syncs, 1);
}
