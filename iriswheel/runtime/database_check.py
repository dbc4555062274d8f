"""Checks the pages of an lmdb database before lmdb reads them: it ends the process at some pages that are damaged.

The layout is that of LMDB 0.9 on machines of 64 bits that store the least significant byte first.
"""

from __future__ import annotations

import itertools
import os
import pathlib
import struct
import typing

META_PAGES = 2  # at the begin of the file, written in turn
META_READ_BYTES = 512  # which hold a page's header and its meta record
PAGE_HEADER = struct.Struct("<QHHHH")  # number, padding, flags, end of the node offsets, begin of the nodes
OVERFLOW_HEADER = struct.Struct("<QHHI")  # number, padding, flags, count of pages
META_HEAD = struct.Struct("<IIQQ")  # magic, version, address, size of the map
TREE = struct.Struct("<IHHQQQQQ")  # page size, flags, depth, counts of branch, leaf, overflow pages, entries; root
META_TAIL = struct.Struct("<QQ")  # last page, transaction
NODE = struct.Struct("<HHHH")  # size or page in two parts, flags or page's third part, length of the key
PAGE_NUMBER = struct.Struct("<Q")
OFFSET_BYTES = 2
MAGIC = 0xBEEFC0DE
BRANCH, LEAF, OVERFLOW = 1, 2, 4  # flags of pages
IN_OVERFLOW_PAGES = 1  # flag of a leaf's node whose value is elsewhere
NO_ROOT = (1 << 64) - 1
MAX_DEPTH = 32  # lmdb's own limit


class DamagedError(Exception):
    """A page does not hold what its place in the database asks for."""

    code = "damaged"


class Tree(typing.NamedTuple):
    """One of the two trees of a database: that of free pages, or that of the records."""

    page_bytes: int
    flags: int
    depth: int
    branch_pages: int
    leaf_pages: int
    overflow_pages: int
    entries: int
    root: int


class Meta(typing.NamedTuple):
    """The record of the newest transaction."""

    trees: tuple[Tree, Tree]
    last_page: int
    transaction: int


def is_readable(file: pathlib.Path) -> bool:
    """Whether lmdb can read all pages of a database; what the records hold is not looked at."""
    with file.open("rb") as opened:
        try:
            _Walk(opened.fileno()).check()
        except (DamagedError, struct.error):
            return False
    return True


class _Walk:
    """A walk over all pages that the newest transaction can reach."""

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.meta = self._newest_meta()
        self.page_bytes = self.meta.trees[0].page_bytes
        self.seen: set[int] = set()
        self.is_free_tree = False  # whether the records are lists of free pages
        self.branch_pages = self.leaf_pages = self.overflow_pages = self.entries = 0

    def check(self) -> None:
        """Raise DamagedError where a page is missing or is not what it should be."""
        file_bytes = os.fstat(self.descriptor).st_size
        if file_bytes < (self.meta.last_page + 1) * self.page_bytes:
            raise DamagedError("the file is shorter than its last page")
        for tree in self.meta.trees:
            self.is_free_tree = tree is self.meta.trees[0]
            self.branch_pages = self.leaf_pages = self.overflow_pages = self.entries = 0
            if tree.root != NO_ROOT:
                self._check_page(tree.root, tree.depth)
            found = (self.branch_pages, self.leaf_pages, self.overflow_pages, self.entries)
            if found != (tree.branch_pages, tree.leaf_pages, tree.overflow_pages, tree.entries):
                raise DamagedError(f"the counts of a tree are {found}")

    def _newest_meta(self) -> Meta:
        first = self._meta(0, 0)
        if first is None:
            raise DamagedError("the first page is no meta page")
        second = self._meta(first.trees[0].page_bytes, 1)
        if second is None:
            raise DamagedError("the second page is no meta page")
        return max(first, second, key=lambda meta: meta.transaction)

    def _meta(self, offset: int, number: int) -> Meta | None:
        raw = os.pread(self.descriptor, META_READ_BYTES, offset)
        at = PAGE_HEADER.size
        if PAGE_HEADER.unpack_from(raw)[0] != number or META_HEAD.unpack_from(raw, at)[0] != MAGIC:
            return None
        at += META_HEAD.size
        trees = Tree(*TREE.unpack_from(raw, at)), Tree(*TREE.unpack_from(raw, at + TREE.size))
        last_page, transaction = META_TAIL.unpack_from(raw, at + 2 * TREE.size)
        return Meta(trees, last_page, transaction)

    def _read(self, number: int) -> bytes:
        """Read a page that no other one has led to."""
        if number in self.seen or not META_PAGES <= number <= self.meta.last_page:
            raise DamagedError(f"page {number} is not where it is looked for")
        self.seen.add(number)
        page = os.pread(self.descriptor, self.page_bytes, number * self.page_bytes)
        if PAGE_HEADER.unpack_from(page)[0] != number:
            raise DamagedError(f"page {number} has another number")
        return page

    def _check_page(self, number: int, depth: int) -> None:
        """Check a branch or leaf page, whose depth is the number of pages from it to a leaf, and all below it."""
        if not 0 < depth <= MAX_DEPTH:
            raise DamagedError(f"page {number} is too deep")
        page = self._read(number)
        _, _, flags, lower, upper = PAGE_HEADER.unpack_from(page)
        is_leaf = depth == 1
        if flags & (BRANCH | LEAF | OVERFLOW) != (LEAF if is_leaf else BRANCH):
            raise DamagedError(f"page {number} is of another kind")
        if not PAGE_HEADER.size <= lower <= upper <= self.page_bytes:
            raise DamagedError(f"page {number} has nodes outside of it")
        count = (lower - PAGE_HEADER.size) // OFFSET_BYTES
        for offset in struct.unpack_from(f"<{count}H", page, PAGE_HEADER.size):
            if offset < upper or offset + NODE.size > self.page_bytes:
                raise DamagedError(f"page {number} has a node outside of it")
            self._check_node(page, offset, depth)
        if is_leaf:
            self.leaf_pages += 1
            self.entries += count
        else:
            self.branch_pages += 1

    def _check_node(self, page: bytes, offset: int, depth: int) -> None:
        low, high, flags, key_bytes = NODE.unpack_from(page, offset)
        value_at = offset + NODE.size + key_bytes
        size = low | high << 16
        if depth > 1:
            self._check_page(size | flags << 32, depth - 1)
        elif flags & IN_OVERFLOW_PAGES:
            self._check_overflow(PAGE_NUMBER.unpack_from(page, value_at)[0], size)
        else:
            self._check_value(page[value_at : value_at + size], size)

    def _check_overflow(self, number: int, size: int) -> None:
        _, _, flags, count = OVERFLOW_HEADER.unpack_from(self._read(number))
        needed = (OVERFLOW_HEADER.size + size + self.page_bytes - 1) // self.page_bytes
        if not flags & OVERFLOW or count != needed or number + count - 1 > self.meta.last_page:
            raise DamagedError(f"page {number} does not begin a value of {size} bytes")
        self.overflow_pages += count
        if self.is_free_tree:
            raw = os.pread(self.descriptor, size, number * self.page_bytes + OVERFLOW_HEADER.size)
            self._check_value(raw, size)

    def _check_value(self, value: bytes, size: int) -> None:
        """Check that a value is whole, and that a list of free pages has its count first and then falling numbers."""
        if len(value) < size:
            raise DamagedError("a value ends outside of its page")
        if not self.is_free_tree:
            return
        words = struct.unpack_from(f"<{size // PAGE_NUMBER.size}Q", value)
        if not words or words[0] >= len(words):
            raise DamagedError("a list of free pages is shorter than its count")
        free = [self.meta.last_page + 1, *words[1 : words[0] + 1], META_PAGES - 1]
        if any(before <= after for before, after in itertools.pairwise(free)):
            raise DamagedError("a list of free pages has numbers that can't be")
