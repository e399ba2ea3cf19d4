package command

import "github.com/parquet-go/parquet-go"

// writeRows writes rows into a Parquet file, compressed; without a name it writes nothing.
func writeRows[Row any](file string, rows []Row) error {
	if file == "" {
		return nil
	}
	return parquet.WriteFile(file, rows, parquet.Compression(&parquet.Zstd))
}
